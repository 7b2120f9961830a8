#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "timeline/draw_timeline.h"
#include "timeline/event_ring.h"
#include "timeline/merge_events.h"

namespace toucanhollow {
namespace {

WallTime At(std::int64_t milliseconds) {
  return WallTime(Milliseconds(milliseconds));
}

EventRing MakeRing(const std::string& name, std::size_t capacity = 16) {
  return {ProcessName{name}, Incarnation{1}, capacity};
}

Event MakeEvent(EventKind kind, const std::string& request) {
  Event event;
  event.kind = kind;
  event.request.value = request;
  return event;
}

// Guards against an effect that is drawn before its cause because the
// receiver's clock is behind.
TEST_CASE("a cause comes before its effect under a clock difference") {
  EventRing entry = MakeRing("entry");
  EventRing agent = MakeRing("agent");
  entry.Record(MakeEvent(EventKind::kDispatched, "r1"), At(10'000));
  const HybridTime sent = entry.Send(At(10'000));
  agent.Receive(sent, At(4'000));
  agent.Record(MakeEvent(EventKind::kDispatchReceived, "r1"), At(4'001));
  entry.Receive(agent.Send(At(4'002)), At(10'001));
  entry.Record(MakeEvent(EventKind::kAnswered, "r1"), At(10'001));
  const std::vector<Event> merged =
      MergeEvents({agent.Since(0), entry.Since(0)});
  REQUIRE(merged.size() == 3);
  CHECK(merged[0].kind == EventKind::kDispatched);
  CHECK(merged[1].kind == EventKind::kDispatchReceived);
  CHECK(merged[2].kind == EventKind::kAnswered);
}

// Guards against one broken clock that moves all other processes' times.
TEST_CASE("a clock far ahead is not taken over") {
  const HybridTime remote{At(10'000'000).time_since_epoch().count(), 0};
  const HybridTime after = Receive(HybridTime{}, remote, At(1'000));
  CHECK(after.wall_us == At(1'000).time_since_epoch().count());
}

// Guards against a clock that steps back and reorders one process's events.
TEST_CASE("a process keeps its own order when its clock steps back") {
  EventRing ring = MakeRing("entry");
  for (const int ms : {100, 50, 50, 101}) {
    ring.Record(MakeEvent(EventKind::kQueued, "r"), At(ms));
  }
  const std::vector<Event> merged = MergeEvents({ring.Since(0)});
  for (std::size_t i = 0; i < merged.size(); ++i) {
    CHECK(merged[i].sequence == i + 1);
  }
}

// Guards against a ring that grows or that returns events twice.
TEST_CASE("a full ring drops the oldest events") {
  EventRing ring = MakeRing("entry", 4);
  for (int i = 0; i < 10; ++i) {
    ring.Record(MakeEvent(EventKind::kQueued, std::to_string(i)), At(i));
  }
  const std::vector<Event> kept = ring.Since(0);
  REQUIRE(kept.size() == 4);
  CHECK(kept.front().request.value == "6");
  CHECK(kept.back().request.value == "9");
  CHECK(ring.Since(9).size() == 1);
  CHECK(ring.Since(10).empty());
}

TEST_CASE("an event that is read from two places is kept once") {
  EventRing ring = MakeRing("entry");
  ring.Record(MakeEvent(EventKind::kQueued, "r"), At(1));
  CHECK(MergeEvents({ring.Since(0), ring.Since(0)}).size() == 1);
}

TEST_CASE("events are selected by every field of the filter") {
  EventRing ring = MakeRing("entry");
  ring.Record(MakeEvent(EventKind::kQueued, "r1"), At(1));
  ring.Record(MakeEvent(EventKind::kQueued, "r2"), At(2));
  EventFilter filter;
  filter.request.value = "r2";
  CHECK(FilterEvents(ring.Since(0), filter).size() == 1);
  filter.process.value = "other";
  CHECK(FilterEvents(ring.Since(0), filter).empty());
}

TEST_CASE("a request is drawn with one column for each process") {
  EventRing entry = MakeRing("entry-1");
  EventRing agent = MakeRing("draft-1");
  entry.Record(MakeEvent(EventKind::kRequestAccepted, "r1"), At(1));
  agent.Receive(entry.Send(At(1)), At(2));
  Event refused = MakeEvent(EventKind::kRefused, "r1");
  refused.code = 1115;
  agent.Record(refused, At(3));
  CHECK(DrawTimeline(MergeEvents({entry.Since(0), agent.Since(0)})) ==
        "        ms  entry-1  draft-1\n"
        "     0.000  *        |        request_accepted\n"
        "     2.000  |        *        refused code=1115\n");
}

TEST_CASE("every kind has a name that is read back") {
  for (int i = 0; i <= static_cast<int>(EventKind::kLogUp); ++i) {
    const auto kind = static_cast<EventKind>(i);
    CHECK(ParseEventKind(EventKindName(kind)) == kind);
  }
  CHECK_FALSE(ParseEventKind("no_such_kind").has_value());
}

}  // namespace
}  // namespace toucanhollow
