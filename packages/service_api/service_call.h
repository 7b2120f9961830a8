// A call to a plain service and its outcome.
#ifndef SERVICE_API_SERVICE_CALL_H_
#define SERVICE_API_SERVICE_CALL_H_

#include <string>

#include "base/result_code.h"
#include "base/time.h"
#include "http_message/http_message.h"

namespace toucanhollow {

struct ServiceCall {
  std::string method = "GET";
  // Includes the query, if any.
  std::string path = "/";
  std::string body;
  // Passed to the service for its own records; empty if there is none.
  std::string idempotency_key;
  std::string account;
  Duration timeout = Seconds(10);
  // False for calls that must not run twice.
  bool repeatable = false;
};

enum class ServiceEnd {
  kAnswered,  // the service answered, with any status
  kNotRun,    // certainly not run
  kUnknown,   // may have run
};

struct ServiceOutcome {
  ServiceEnd end = ServiceEnd::kUnknown;
  int status = 0;
  std::string body;
  // kAnswered, kServiceUnreachable or kOutcomeUnknown.
  ResultCode code = ResultCode::kOutcomeUnknown;
  std::string detail;
};

}  // namespace toucanhollow

#endif  // SERVICE_API_SERVICE_CALL_H_
