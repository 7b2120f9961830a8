// The requests of the soak's callers, drawn at random: of all kinds, with
// bodies that come in different ways and answers of different lengths.
#ifndef SOAK_REQUEST_PLAN_H_
#define SOAK_REQUEST_PLAN_H_

#include <random>
#include <string>

#include "soak/check_promises.h"

namespace toucanhollow {

enum class BodyForm {
  kNone,
  kWithLength,
  kChunked,
};

struct PlannedRequest {
  RequestKind kind = RequestKind::kSafe;
  std::string target;
  BodyForm form = BodyForm::kNone;
  // Half of the body comes so much later; zero for at once.
  Duration second_half_after{0};
  Duration timeout{0};
  // The caller leaves before it has an answer.
  bool leaves = false;
  // The caller shuts its sending side down behind the request.
  bool half_closes = false;
};

PlannedRequest PlanRequest(std::mt19937& random);

// Until the caller's next request.
Duration PlanPause(std::mt19937& random);

// `close` announces that the caller closes the connection after the answer.
std::string RequestBytes(const std::string& id,
                         const PlannedRequest& request,
                         const std::string& body,
                         bool close);

// Routes to the soak's servers, as entries of the configuration.
std::string PlannedRoutesText();

}  // namespace toucanhollow

#endif  // SOAK_REQUEST_PLAN_H_
