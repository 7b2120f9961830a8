// A caller's request, as read from HTTP.
#ifndef CALLER_API_CALLER_REQUEST_H_
#define CALLER_API_CALLER_REQUEST_H_

#include <optional>
#include <string>
#include <vector>

#include "base/name.h"
#include "base/time.h"

namespace toucanhollow {

// The API whose response format the answer has.
enum class AnswerFormat {
  kChat,        // /v1/chat/completions
  kCompletion,  // /v1/completions
  kPlain,       // /services/<name>/<path>
};

struct CallerRequest {
  AnswerFormat format = AnswerFormat::kPlain;
  AccountName account;
  // The model, or the name of the plain service.
  ServiceName service;
  std::string method;
  // For a plain call, the path and query below the service's name.
  std::string path;
  std::string content_type;
  std::string body;
  // For generation: the whole prompt as one string.
  std::string prompt;
  std::optional<int> max_tokens;
  bool stream = false;
  // Running the request twice is harmless. True for generation and for reads
  // (GET and HEAD).
  bool repeatable = true;
  // Empty if the caller sent none.
  std::string idempotency_key;
  // Time from acceptance within which the request must end; zero if the caller
  // sent none.
  Duration deadline{0};
  // 0 is normal; 1 is served first among the requests of the same account.
  int priority = 0;

  bool operator==(const CallerRequest&) const = default;
};

}  // namespace toucanhollow

#endif  // CALLER_API_CALLER_REQUEST_H_
