#include "wire/codec.h"

#include <string>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace toucanhollow {
namespace {

using Json = nlohmann::json;

std::string ToCbor(const Json& json) {
  std::string frame;
  Json::to_cbor(json, frame);
  return frame;
}

std::vector<Message> MakeSampleMessages() {
  Dispatch dispatch;
  dispatch.dispatch_id = {"e1-7-1"};
  dispatch.request_id = {"e1-7"};
  dispatch.attempt = 2;
  dispatch.receiver = {1'700'000'000'000'000};
  dispatch.account = {"coastal"};
  dispatch.service = {"draft"};
  dispatch.model = "model-a";
  dispatch.method = "POST";
  dispatch.path = "/v1/completions";
  dispatch.content_type = "application/json";
  dispatch.body = std::string("\0\xff{}", 4);
  dispatch.max_tokens = 64;
  dispatch.priority = 1;
  dispatch.remaining = Milliseconds(420);
  dispatch.idempotency_key = "1700000000000-a";
  dispatch.repeatable = false;
  dispatch.stream = true;
  dispatch.resume_index = 12;
  dispatch.resume_text = "tokens so far";
  dispatch.config_offset = 99;
  Heartbeat heartbeat;
  heartbeat.time = WallTime(Seconds(1'700'000'000));
  heartbeat.config_offset = 41;
  heartbeat.leaving = true;
  heartbeat.limit = 32;
  heartbeat.in_flight = 3;
  heartbeat.queued = 1;
  heartbeat.full_limit = 40;
  heartbeat.granted = 2;
  heartbeat.warm = true;
  heartbeat.takes_work = true;
  heartbeat.mean_service = Milliseconds(900);
  heartbeat.step_time = Milliseconds(21);
  return {
      Hello{1, 3, {"p"}, {"suva-east"}, "endpoint", {5}, 8, {"e"}, {"s"}, "k"},
      heartbeat,
      Grant{4, Seconds(3)},
      dispatch,
      Accepted{{"d"}},
      Token{{"d"}, 3, "text"},
      Done{{"d"}, 4, 201, "text/plain", "stop"},
      Refused{{"d"}, ResultCode::kEndpointFull, false, "full"},
      OutcomeUnknown{{"d"}, ResultCode::kAnswerTruncated, "cut"},
      Cancel{{"d"}},
      SnapshotRequest{12},
      Snapshot{12, "payload"},
      CacheNotice{{"e"}, "[]"}};
}

// Guards against a field that is only encoded or only decoded.
TEST_CASE("every message is decoded as it was encoded") {
  const std::vector<Message> messages = MakeSampleMessages();
  REQUIRE(messages.size() == std::variant_size_v<Message>);
  for (std::size_t i = 0; i < messages.size(); ++i) {
    REQUIRE(messages[i].index() == i);
    const Result<DecodedFrame> decoded =
        DecodeMessage(EncodeMessage(messages[i], {77, 2}));
    REQUIRE(decoded.has_value());
    CHECK(decoded.value() == DecodedFrame{messages[i], {77, 2}, {}});
  }
}

// Guards against additions of a newer peer that make an older process fail.
TEST_CASE("unknown fields and types are ignored and counted") {
  const auto token =
      DecodeMessage(ToCbor({{"t", 6}, {"id", "d"}, {"i", 3}, {"new", {1, 2}}}));
  REQUIRE(token.has_value());
  CHECK(token.value().counts == DecodeCounts{1, 0});
  CHECK(token.value().message == Message(Token{{"d"}, 3, ""}));
  const auto unknown = DecodeMessage(ToCbor({{"t", 900}, {"id", "d"}}));
  REQUIRE(unknown.has_value());
  CHECK(unknown.value().counts == DecodeCounts{0, 1});
  CHECK_FALSE(unknown.value().message.has_value());
}

// Guards against an unknown refusal code of a newer peer that is mapped to
// another class: "not run" must be preserved, and an unknown outcome must not
// be decoded as "not run".
TEST_CASE("unknown result codes keep their class") {
  const auto get_code = [](int number) {
    const auto decoded =
        DecodeMessage(ToCbor({{"t", 8}, {"id", "d"}, {"code", number}}));
    return std::get<Refused>(*decoded.value().message).code;
  };
  CHECK(IsCertainlyNotRun(get_code(1199)));
  CHECK_FALSE(IsCertainlyNotRun(get_code(1299)));
}

// Guards against truncated, mistyped and maliciously nested frames that crash
// the process.
TEST_CASE("malformed frames are rejected") {
  const auto get_code = [](const std::string& frame) {
    const auto decoded = DecodeMessage(frame);
    REQUIRE(decoded.has_error());
    return decoded.error().code;
  };
  for (const Message& message : MakeSampleMessages()) {
    const std::string frame = EncodeMessage(message);
    for (std::size_t size = 0; size < frame.size(); ++size) {
      CHECK(get_code(frame.substr(0, size)) == ResultCode::kFrameMalformed);
    }
  }
  CHECK(get_code(ToCbor({{"t", 6}, {"i", "three"}})) ==
        ResultCode::kFrameMalformed);
  CHECK(get_code(ToCbor({{"t", 6}, {"i", -1}})) == ResultCode::kFrameMalformed);
  CHECK(get_code(ToCbor({{"t", "token"}})) == ResultCode::kFrameMalformed);
  CHECK(get_code(ToCbor(Json::array({1}))) == ResultCode::kFrameMalformed);
  CHECK(get_code(std::string(1'000'000, '\x81')) ==
        ResultCode::kFrameMalformed);
}

}  // namespace
}  // namespace toucanhollow
