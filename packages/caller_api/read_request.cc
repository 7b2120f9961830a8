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

Failure MakeMalformedRequest(std::string detail) {
  return MakeFailure(ResultCode::kMalformedRequest, std::move(detail));
}

bool IsValidName(std::string_view text) {
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
  if (!IsValidName(request.account.value)) {
    return MakeFailure(ResultCode::kUnknownAccount,
                       "send the client account's name in X-Client-Account");
  }
  request.idempotency_key = FindHeader(http.headers, "Idempotency-Key");
  const std::string_view deadline =
      FindHeader(http.headers, "X-Request-Deadline-Ms");
  if (!deadline.empty()) {
    const auto milliseconds = ParseDecimal(deadline);
    if (!milliseconds || *milliseconds < 1 || *milliseconds > kMaxDeadlineMs) {
      return MakeMalformedRequest(
          "X-Request-Deadline-Ms is '" + std::string(deadline) +
          "'; send the remaining time in whole milliseconds from 1 "
          "to 86400000");
    }
    request.deadline = Milliseconds(*milliseconds);
  }
  const std::string_view priority =
      FindHeader(http.headers, "X-Request-Priority");
  if (!priority.empty()) {
    if (priority != "0" && priority != "1") {
      return MakeMalformedRequest("X-Request-Priority is '" +
                                  std::string(priority) +
                                  "'; send 0 (normal) or 1 (first)");
    }
    request.priority = priority == "1" ? 1 : 0;
  }
  return request;
}

// Joins the messages of a chat into one prompt, with one line for each message.
Result<std::string> ReadChatPrompt(const Json& body) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return MakeMalformedRequest(
        "'messages' is missing, empty or not a list; send a list of "
        "{\"role\", \"content\"}");
  }
  std::string prompt;
  for (const Json& message : *messages) {
    if (!message.is_object() || !message.contains("role") ||
        !message["role"].is_string() || !message.contains("content") ||
        !message["content"].is_string()) {
      return MakeMalformedRequest(
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
    return MakeMalformedRequest("the method is " + request.method +
                                "; use POST");
  }
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return MakeMalformedRequest(
        "the request body is not a JSON object; send one");
  }
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string() ||
      !IsValidName(model->get_ref<const std::string&>())) {
    return MakeMalformedRequest(
        "'model' is missing or not a valid name; send the model's "
        "name");
  }
  request.service.value = model->get<std::string>();
  const auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_null()) {
    if (!stream->is_boolean()) {
      return MakeMalformedRequest(
          "'stream' is not a boolean; send true or false");
    }
    request.stream = stream->get<bool>();
  }
  const auto max_tokens = body.find("max_tokens");
  if (max_tokens != body.end() && !max_tokens->is_null()) {
    if (!max_tokens->is_number_integer() ||
        max_tokens->get<std::int64_t>() < 1 ||
        max_tokens->get<std::int64_t>() > kMaxTokens) {
      return MakeMalformedRequest(
          "'max_tokens' is not an integer in range; send one from 1 to "
          "1000000");
    }
    request.max_tokens = max_tokens->get<int>();
  }
  if (request.format == AnswerFormat::kChat) {
    Result<std::string> prompt = ReadChatPrompt(body);
    if (!prompt) {
      return prompt.error();
    }
    request.prompt = std::move(prompt).value();
    return request;
  }
  const auto prompt = body.find("prompt");
  if (prompt == body.end() || !prompt->is_string()) {
    return MakeMalformedRequest(
        "'prompt' is missing or not a string; send one string");
  }
  request.prompt = prompt->get<std::string>();
  return request;
}

Result<CallerRequest> ReadServiceCall(CallerRequest request,
                                      const HttpRequest& http) {
  const std::string service_and_path = http.path.substr(kServicePrefix.size());
  const std::size_t slash = service_and_path.find('/');
  request.service.value = service_and_path.substr(0, slash);
  if (!IsValidName(request.service.value)) {
    return MakeMalformedRequest(
        "the path has no valid service name; call "
        "/services/<name>/<path>");
  }
  request.path =
      slash == std::string::npos ? "/" : service_and_path.substr(slash);
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
