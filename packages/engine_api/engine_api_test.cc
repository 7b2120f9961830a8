#include <random>

#include <catch2/catch.hpp>

#include "engine_api/engine_codec.h"
#include "engine_api/event_stream.h"

namespace toucanhollow {
namespace {

// Guards against fields that are lost or swapped in the engine's format.
TEST_CASE("messages are unchanged after encoding and decoding") {
  const EngineRequest request{"id", "model", "a \"b\"", 9, 3, 1};
  CHECK(DecodeEngineRequest(EncodeEngineRequest(request)) == request);
  const EngineStatus status{7, "model", 1,  2,        50, Milliseconds(20),
                            4, "c1",    60, {1, 2, 3}};
  CHECK(DecodeEngineStatus(EncodeEngineStatus(status)) == status);
  for (int kind = 0; kind < 6; ++kind) {
    const EngineOrder order{
        static_cast<EngineOrder::Kind>(kind), 5, "m", "c", 2, 60, 1 << 20};
    CHECK(DecodeEngineOrder(EncodeEngineOrder(order)) == order);
  }
  const EngineCacheEvents events{3, 12, {{10, true, ~0ULL}, {11, false, 1}}};
  CHECK(DecodeCacheEvents(EncodeCacheEvents(events)) == events);
}

// Guards against tokens lost or merged where the network splits the stream.
TEST_CASE("event parsing does not depend on how the body is split") {
  std::string text = ": comment\r\n\r\n";
  for (int i = 0; i < 5; ++i) {
    text += EncodeEngineEvent(
        {EngineEvent::Kind::kToken, i, "line\nbreak " + std::to_string(i)});
  }
  text += EncodeEngineEvent({EngineEvent::Kind::kDone, 5, ""});
  for (std::size_t piece = 1; piece < 40; ++piece) {
    std::string pending;
    std::int64_t next = 0;
    for (std::size_t at = 0; at < text.size(); at += piece) {
      CHECK(FeedEventStream(pending, std::string_view(text).substr(at, piece),
                            [&](auto data) {
                              const auto event = DecodeEngineEvent(data);
                              REQUIRE(event.has_value());
                              CHECK(event->index == next++);
                              return true;
                            }));
    }
    CHECK(next == 6);
  }
}

// Guards against unbounded memory for a line that never ends.
TEST_CASE("a line over the size limit is rejected") {
  std::string pending;
  const std::string piece(kMaxEventBytes / 2, 'x');
  const auto ignore = [](std::string_view) { return true; };
  CHECK(FeedEventStream(pending, piece, ignore));
  CHECK(FeedEventStream(pending, piece, ignore));
  CHECK_FALSE(FeedEventStream(pending, piece, ignore));
}

// Guards against crashes and out-of-range numbers from a faulty engine.
TEST_CASE("the decoders handle random input without crashing") {
  std::mt19937 random(410);
  const std::vector<std::string> seeds = {
      EncodeEngineRequest({"id", "m", "p", 9, 3, 1}),
      EncodeEngineStatus({7, "m", 1, 2, 50, Duration(9), 4, "c", 60, {1}}),
      EncodeEngineOrder({EngineOrder::Kind::kStageMap, 5, "m", "c", 2, 60, 1}),
      EncodeCacheEvents({3, 12, {{10, true, 1}}}),
      EncodeEngineError({"full", true}),
      EncodeEngineEvent({EngineEvent::Kind::kToken, 3, "t"}).substr(6)};
  for (int round = 0; round < 20'000; ++round) {
    std::string text = seeds[random() % seeds.size()];
    for (std::size_t changes = random() % 4; changes > 0; --changes) {
      text[random() % text.size()] =
          random() % 2 == 0 ? static_cast<char>(random())
                            : "0123456789-.eE{}[]\",:"[random() % 21];
    }
    const auto request = DecodeEngineRequest(text);
    CHECK((!request || request->max_tokens >= request->start_index));
    const auto status = DecodeEngineStatus(text);
    CHECK((!status || status->step_time >= Duration(0)));
    const auto event = DecodeEngineEvent(text);
    CHECK((!event || event->index >= 0));
    DecodeEngineOrder(text);
    DecodeCacheEvents(text);
    DecodeEngineError(text);
  }
}

// Guards against a prefix index that matches prompts that begin differently.
TEST_CASE("the hash of a prompt block depends on all text before it") {
  std::string prompt;
  for (int i = 0; i < 40; ++i) {
    prompt += "w" + std::to_string(i) + " ";
  }
  const auto blocks = HashPromptBlocks(prompt);
  CHECK(blocks.size() == 2);
  CHECK(CountPromptTokens(prompt) == 40);
  CHECK(HashPromptBlocks(prompt + "more words")[1] == blocks[1]);
  CHECK(HashPromptBlocks("x" + prompt)[1] != blocks[1]);
}

}  // namespace
}  // namespace toucanhollow
