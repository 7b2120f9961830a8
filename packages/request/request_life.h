// The state of one request at the entry host that accepted it.
#ifndef REQUEST_REQUEST_LIFE_H_
#define REQUEST_REQUEST_LIFE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/incarnation.h"
#include "base/name.h"
#include "base/result.h"
#include "base/time.h"

namespace toucanhollow {

// Attempts of one request, the first included, without those that met a full
// endpoint. Bounds the round trips that a request can cost when every endpoint
// refuses it.
constexpr int kMaxAttempts = 4;

// What the end of an attempt's answer says.
struct AnswerEnd {
  std::uint64_t count = 0;
  int status = 200;
  std::string content_type;
  std::string finish_reason;

  bool operator==(const AnswerEnd&) const = default;
};

// One dispatch that has not ended yet.
struct Attempt {
  DispatchId dispatch_id;
  EndpointName endpoint;
  Incarnation incarnation;
  bool hedge = false;
  // Pieces that arrived before an earlier one.
  std::map<std::uint64_t, std::string> held;
  std::optional<AnswerEnd> end;

  bool operator==(const Attempt&) const = default;
};

struct RequestLife {
  RequestId id;
  bool repeatable = true;
  // A non-repeatable request with a key: its dispatches can be voided.
  bool keyed = false;
  std::vector<Attempt> attempts;
  int attempts_started = 0;
  // Attempts refused because the endpoint was full. The request then waits for
  // a free slot as if it had not been sent, until its deadline.
  int full_refusals = 0;
  // The attempt whose pieces the caller gets, from its first piece on.
  std::optional<DispatchId> leader;
  // Pieces delivered, and their text, from which a new attempt continues.
  std::uint64_t delivered = 0;
  std::string delivered_text;
  // An attempt that ended without an answer may have run.
  bool may_have_run = false;
  // A dispatch whose void in the log is not settled yet.
  std::optional<DispatchId> voiding;
  std::optional<Failure> last_failure;
  bool ended = false;

  bool operator==(const RequestLife&) const = default;
};

}  // namespace toucanhollow

#endif  // REQUEST_REQUEST_LIFE_H_
