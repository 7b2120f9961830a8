// Encodes answers and errors in the response format of the caller API.
#ifndef CALLER_API_WRITE_ANSWER_H_
#define CALLER_API_WRITE_ANSWER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/name.h"
#include "base/result.h"
#include "base/time.h"
#include "caller_api/caller_request.h"

namespace toucanhollow {

// Fields that are repeated in every chunk of one generated answer.
struct AnswerMetadata {
  AnswerFormat format = AnswerFormat::kCompletion;
  RequestId request;
  ServiceName model;
  WallTime created;
};

// One server-sent event with a piece of generated text.
std::string WriteChunk(const AnswerMetadata& metadata, std::string_view text);

// The last chunk, with the finish reason, followed by the [DONE] event.
std::string WriteStreamEnd(const AnswerMetadata& metadata,
                           std::string_view finish_reason);

// A complete answer as one JSON object.
std::string WriteWholeAnswer(const AnswerMetadata& metadata,
                             std::string_view text,
                             std::uint64_t completion_tokens,
                             std::string_view finish_reason);

// {"error": {"code", "name", "outcome", "detail"}}. `outcome` is "not_run" or
// "unknown", so that a caller need not know the code's range.
std::string WriteError(const Failure& failure, const RequestId& request);

// An error after the start of a stream, as one server-sent event. No [DONE]
// event follows it.
std::string WriteStreamError(const Failure& failure, const RequestId& request);

// The text as a JSON string with its quotes. Bytes that are not UTF-8 become
// U+FFFD.
std::string QuoteJson(std::string_view text);

}  // namespace toucanhollow

#endif  // CALLER_API_WRITE_ANSWER_H_
