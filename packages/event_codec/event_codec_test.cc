#include <random>
#include <string>

#include <catch2/catch.hpp>

#include "event_codec/event_codec.h"

namespace toucanhollow {
namespace {

Event MakeEvent() {
  Event event;
  event.time = {123456, 7};
  event.process.value = "entry-1";
  event.incarnation.value = 99;
  event.sequence = 3;
  event.kind = EventKind::kRefused;
  event.request.value = "r1";
  event.code = 1107;
  event.detail = "log is down\n";
  return event;
}

TEST_CASE("an event is unchanged after encoding and decoding") {
  const DecodedEvents decoded = DecodeEvents(EncodeEvent(MakeEvent()) + "\n");
  REQUIRE(decoded.events.size() == 1);
  CHECK(decoded.events[0] == MakeEvent());
  CHECK(decoded.skipped == 0);
}

// Guards against a follower that stops at an event kind of a newer version.
TEST_CASE("lines that are not known events are skipped and counted") {
  const std::string lines = "garbage\n{\"kind\":\"of_the_future\"}\n" +
                            EncodeEvent(MakeEvent()) +
                            "\n{\"kind\":\"refused\",\"code\":\"text\"}\n";
  const DecodedEvents decoded = DecodeEvents(lines);
  CHECK(decoded.events.size() == 1);
  CHECK(decoded.skipped == 3);
}

// Guards against a decoder that throws or crashes on malformed input.
TEST_CASE("randomly altered events are decoded or skipped without errors") {
  std::mt19937 random(7);  // NOLINT(bugprone-random-generator-seed)
  const std::string valid = EncodeEvent(MakeEvent());
  for (int i = 0; i < 5000; ++i) {
    std::string line = valid;
    for (int change = 0; change < 3; ++change) {
      line[random() % line.size()] = static_cast<char>(random());
    }
    const DecodedEvents decoded = DecodeEvents(line);
    CHECK(decoded.events.size() <= 2);
  }
}

}  // namespace
}  // namespace toucanhollow
