#include <string>
#include <string_view>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "caller_api/read_request.h"
#include "caller_api/write_answer.h"

namespace toucanhollow {
namespace {

using Json = nlohmann::json;

HttpRequest MakePostRequest(std::string path, std::string body) {
  return {
      "POST",
      std::move(path),
      "",
      {{"X-Client-Account", "coastal"}, {"Content-Type", "application/json"}},
      std::move(body)};
}

ResultCode GetErrorCode(const HttpRequest& http) {
  const auto read = ReadRequest(http);
  REQUIRE(read.has_error());
  CHECK_FALSE(read.error().detail.empty());
  return read.error().code;
}

// Guards against a chat request that is forwarded with another prompt, model or
// deadline than the caller sent.
TEST_CASE("a chat request is read with its headers") {
  HttpRequest http =
      MakePostRequest("/v1/chat/completions",
                      R"({"model":"draft","stream":true,"max_tokens":7,
      "messages":[{"role":"system","content":"a"},
                  {"role":"user","content":"b"}]})");
  http.headers.push_back({"X-Request-Deadline-Ms", "250"});
  http.headers.push_back({"X-Request-Priority", "1"});
  const auto read = ReadRequest(http);
  REQUIRE(read.has_value());
  const CallerRequest& request = read.value();
  CHECK(request.format == AnswerFormat::kChat);
  CHECK(request.service.value == "draft");
  CHECK(request.prompt == "system: a\nuser: b\n");
  CHECK(request.max_tokens == 7);
  CHECK(request.stream);
  CHECK(request.repeatable);
  CHECK(request.deadline == Milliseconds(250));
  CHECK(request.priority == 1);
}

// Guards against a POST call that is treated as repeatable and so may run
// twice.
TEST_CASE("plain calls keep path and query, and only reads are repeatable") {
  HttpRequest http = MakePostRequest("/services/listings/post/fee", "{}");
  http.query = "a=1";
  http.headers.push_back({"Idempotency-Key", "1700000000000-x"});
  const auto post = ReadRequest(http);
  REQUIRE(post.has_value());
  CHECK(post.value().service.value == "listings");
  CHECK(post.value().path == "/post/fee?a=1");
  CHECK_FALSE(post.value().repeatable);
  CHECK(post.value().idempotency_key == "1700000000000-x");
  for (const char* method : {"GET", "HEAD", "PUT", "DELETE", "PATCH"}) {
    http.method = method;
    const bool is_read = http.method == "GET" || http.method == "HEAD";
    CHECK(ReadRequest(http).value().repeatable == is_read);
  }
}

// Guards against malformed input that is accepted, crashes the process or is
// refused without a remedy.
TEST_CASE("malformed requests are refused with their code") {
  using enum ResultCode;
  CHECK(GetErrorCode(MakePostRequest("/v2/other", "{}")) == kUnknownPath);
  HttpRequest without_account = MakePostRequest("/v1/completions", "{}");
  without_account.headers.clear();
  CHECK(GetErrorCode(without_account) == kUnknownAccount);
  for (const char* body :
       {"", "[]", "{", "\xff", R"({"model":7,"prompt":"p"})",
        R"({"model":"a/b","prompt":"p"})", R"({"model":"m"})",
        R"({"model":"m","prompt":"p","stream":"yes"})",
        R"({"model":"m","prompt":"p","max_tokens":0})",
        R"({"model":"m","prompt":"p","max_tokens":1.5})",
        R"({"model":"m","prompt":"p","max_tokens":99999999999999999999})"}) {
    CHECK(GetErrorCode(MakePostRequest("/v1/completions", body)) ==
          kMalformedRequest);
  }
  for (const char* messages : {"[]", "[1]", R"([{"role":"user"}])"}) {
    CHECK(GetErrorCode(MakePostRequest(
              "/v1/chat/completions",
              std::string(R"({"model":"m","messages":)") + messages + "}")) ==
          kMalformedRequest);
  }
  for (const char* deadline : {"0", "-5", "1.5", "x", "99999999999999999999"}) {
    HttpRequest http = MakePostRequest("/services/s/p", "");
    http.headers.push_back({"X-Request-Deadline-Ms", deadline});
    CHECK(GetErrorCode(http) == kMalformedRequest);
  }
}

// Guards against generated text that breaks the event stream or the JSON.
TEST_CASE("each chunk is one event and can carry any text") {
  const AnswerMetadata chat{AnswerFormat::kChat,
                            {"e1-1"},
                            {"draft"},
                            WallTime(Seconds(1'700'000'000))};
  const std::string text = "line\n\n\"quoted\" \\ \x01 \xe2\x82\xac";
  const std::string event = WriteChunk(chat, text);
  CHECK(event.starts_with("data: "));
  CHECK(event.find("\n\n") == event.size() - 2);
  const Json chunk = Json::parse(event.substr(6));
  CHECK(chunk["choices"][0]["delta"]["content"] == text);
  CHECK(chunk["object"] == "chat.completion.chunk");
  CHECK(chunk["created"] == 1'700'000'000);
  const std::string stream_end = WriteStreamEnd(chat, "stop");
  CHECK(stream_end.ends_with("\n\ndata: [DONE]\n\n"));
  for (const char* invalid : {"\xff", "\xc0\x80", "\xed\xa0\x80", "\xe2\x82"}) {
    CHECK(Json::accept(QuoteJson(invalid)));
  }
}

// Guards against an error whose stated outcome contradicts its code.
TEST_CASE("errors carry their code, name and outcome") {
  const Json refused = Json::parse(
      WriteError({ResultCode::kOverloaded, "256 requests wait"}, {"e1-1"}));
  CHECK(refused["error"]["code"] == 1105);
  CHECK(refused["error"]["name"] == "overloaded");
  CHECK(refused["error"]["outcome"] == "not_run");
  CHECK(refused["error"]["detail"] == "256 requests wait");
  const Json unknown =
      Json::parse(WriteError({ResultCode::kOutcomeUnknown, ""}, {"e1-1"}));
  CHECK(unknown["error"]["outcome"] == "unknown");
}

}  // namespace
}  // namespace toucanhollow
