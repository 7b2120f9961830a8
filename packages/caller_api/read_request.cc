#include "caller_api/read_request.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "http_message/http_message.h"

namespace toucanhollow {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kCompletionPath = "/v1/completions";
constexpr std::string_view kServicePrefix = "/services/";
constexpr std::int64_t kMaxDeadlineMs = std::int64_t{24} * 3600 * 1000;
constexpr int kMaxTokens = 1'000'000;
constexpr std::size_t kMaxNameBytes = 128;

Failure Malformed(std::string detail) {
  return MakeFailure(ResultCode::kMalformedRequest, std::move(detail));
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::ranges::all_of(text, [](unsigned char character) {
           return std::isalnum(character) != 0 || character == '-' ||
                  character == '_' || character == '.';
         });
}

Result<CallerRequest> ReadHeaders(const HttpRequest& http) {
  CallerRequest request;
  request.method = http.method;
  request.body = http.body;
  request.content_type = FindHeader(http.headers, "Content-Type");
  request.account.value = FindHeader(http.headers, "X-Client-Account");
  if (!IsName(request.account.value)) {
    return MakeFailure(ResultCode::kUnknownAccount,
                       "send the client account's name in X-Client-Account");
  }
  request.idempotency_key = FindHeader(http.headers, "Idempotency-Key");
  const std::string_view deadline =
      FindHeader(http.headers, "X-Request-Deadline-Ms");
  if (!deadline.empty()) {
    const auto milliseconds = ParseDecimal(deadline);
    if (!milliseconds || *milliseconds < 1 || *milliseconds > kMaxDeadlineMs) {
      return Malformed("X-Request-Deadline-Ms is '" + std::string(deadline) +
                       "'; send the time left in whole milliseconds from 1 "
                       "to 86400000");
    }
    request.deadline = Milliseconds(*milliseconds);
  }
  const std::string_view priority =
      FindHeader(http.headers, "X-Request-Priority");
  if (!priority.empty()) {
    if (priority != "0" && priority != "1") {
      return Malformed("X-Request-Priority is '" + std::string(priority) +
                       "'; send 0 (normal) or 1 (first)");
    }
    request.priority = priority == "1" ? 1 : 0;
  }
  return request;
}

// The messages of a chat joined into one prompt, one line for each message.
Result<std::string> ReadMessages(const Json& body) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return Malformed(
        "'messages' is missing; send a list of "
        "{\"role\", \"content\"}");
  }
  std::string prompt;
  for (const Json& message : *messages) {
    if (!message.is_object() || !message.contains("role") ||
        !message["role"].is_string() || !message.contains("content") ||
        !message["content"].is_string()) {
      return Malformed(
          "an entry of 'messages' is not {\"role\": text, "
          "\"content\": text}");
    }
    prompt += message["role"].get_ref<const std::string&>() + ": " +
              message["content"].get_ref<const std::string&>() + "\n";
  }
  return prompt;
}

Result<CallerRequest> ReadGeneration(CallerRequest request) {
  if (request.method != "POST") {
    return Malformed("the method is " + request.method + "; use POST");
  }
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return Malformed("the body is not a JSON object");
  }
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string() ||
      !IsName(model->get_ref<const std::string&>())) {
    return Malformed(
        "'model' is missing or not a name; send the model group's "
        "name");
  }
  request.service.value = model->get<std::string>();
  const auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_null()) {
    if (!stream->is_boolean()) {
      return Malformed("'stream' is not true or false");
    }
    request.stream = stream->get<bool>();
  }
  const auto max_tokens = body.find("max_tokens");
  if (max_tokens != body.end() && !max_tokens->is_null()) {
    if (!max_tokens->is_number_integer() ||
        max_tokens->get<std::int64_t>() < 1 ||
        max_tokens->get<std::int64_t>() > kMaxTokens) {
      return Malformed("'max_tokens' is not a whole number from 1 to 1000000");
    }
    request.max_tokens = max_tokens->get<int>();
  }
  if (request.format == AnswerFormat::kChat) {
    Result<std::string> prompt = ReadMessages(body);
    if (!prompt) {
      return prompt.error();
    }
    request.prompt = std::move(prompt).value();
    return request;
  }
  const auto prompt = body.find("prompt");
  if (prompt == body.end() || !prompt->is_string()) {
    return Malformed("'prompt' is missing or not a text");
  }
  request.prompt = prompt->get<std::string>();
  return request;
}

Result<CallerRequest> ReadServiceCall(CallerRequest request,
                                      const HttpRequest& http) {
  const std::string rest = http.path.substr(kServicePrefix.size());
  const std::size_t slash = rest.find('/');
  request.service.value = rest.substr(0, slash);
  if (!IsName(request.service.value)) {
    return Malformed(
        "the path has no service name; call "
        "/services/<name>/<path>");
  }
  request.path = slash == std::string::npos ? "/" : rest.substr(slash);
  if (!http.query.empty()) {
    request.path += "?" + http.query;
  }
  request.repeatable = request.method == "GET" || request.method == "HEAD";
  return request;
}

}  // namespace

Result<CallerRequest> ReadRequest(const HttpRequest& http) {
  const bool chat = http.path == kChatPath;
  const bool completion = http.path == kCompletionPath;
  if (!chat && !completion && !http.path.starts_with(kServicePrefix)) {
    return MakeFailure(ResultCode::kUnknownPath,
                       "'" + http.path +
                           "' is not served; use /v1/chat/completions, "
                           "/v1/completions or /services/<name>/<path>");
  }
  Result<CallerRequest> read = ReadHeaders(http);
  if (!read) {
    return read;
  }
  CallerRequest request = std::move(read).value();
  if (!chat && !completion) {
    return ReadServiceCall(std::move(request), http);
  }
  request.format = chat ? AnswerFormat::kChat : AnswerFormat::kCompletion;
  request.path = http.path;
  return ReadGeneration(std::move(request));
}

}  // namespace toucanhollow
