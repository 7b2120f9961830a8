// A caller's request, read from HTTP.
#ifndef CALLER_API_CALLER_REQUEST_H_
#define CALLER_API_CALLER_REQUEST_H_

#include <optional>
#include <string>
#include <vector>

#include "base/name.h"
#include "base/time.h"

namespace toucanhollow {

// How the answer is written.
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
  // For generation: the whole prompt as one text.
  std::string prompt;
  std::optional<int> max_tokens;
  bool stream = false;
  // A second run would do no harm. True for generation and for reads.
  bool repeatable = true;
  // Empty if none was sent.
  std::string idempotency_key;
  // Zero if none was sent.
  Duration deadline{0};
  // 0 is normal, 1 goes first within the account.
  int priority = 0;

  bool operator==(const CallerRequest&) const = default;
};

}  // namespace toucanhollow

#endif  // CALLER_API_CALLER_REQUEST_H_
