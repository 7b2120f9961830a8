#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "timeline/draw_timeline.h"
#include "timeline/event_ring.h"
#include "timeline/merge_events.h"

namespace toucanhollow {
namespace {

WallTime WallTimeAt(std::int64_t milliseconds) {
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

// Guards against an effect that is sorted before its cause because the
// receiver's clock is behind the sender's.
TEST_CASE("a cause precedes its effect if the hosts' clocks differ") {
  EventRing entry = MakeRing("entry");
  EventRing agent = MakeRing("agent");
  entry.Record(MakeEvent(EventKind::kDispatched, "r1"), WallTimeAt(10'000));
  const HybridTime sent = entry.Send(WallTimeAt(10'000));
  agent.Receive(sent, WallTimeAt(4'000));
  agent.Record(MakeEvent(EventKind::kDispatchReceived, "r1"),
               WallTimeAt(4'001));
  entry.Receive(agent.Send(WallTimeAt(4'002)), WallTimeAt(10'001));
  entry.Record(MakeEvent(EventKind::kAnswered, "r1"), WallTimeAt(10'001));
  const std::vector<Event> merged =
      MergeEvents({agent.EventsAfter(0), entry.EventsAfter(0)});
  REQUIRE(merged.size() == 3);
  CHECK(merged[0].kind == EventKind::kDispatched);
  CHECK(merged[1].kind == EventKind::kDispatchReceived);
  CHECK(merged[2].kind == EventKind::kAnswered);
}

// Guards against one wrong clock that advances the clocks of all processes.
TEST_CASE("a remote time far ahead is ignored") {
  const HybridTime remote{WallTimeAt(10'000'000).time_since_epoch().count(), 0};
  const HybridTime after =
      MergeRemoteTime(HybridTime{}, remote, WallTimeAt(1'000));
  CHECK(after.wall_us == WallTimeAt(1'000).time_since_epoch().count());
}

// Guards against a clock step backwards that reorders the events of one
// process.
TEST_CASE("events of one process stay ordered if its clock steps back") {
  EventRing ring = MakeRing("entry");
  for (const int ms : {100, 50, 50, 101}) {
    ring.Record(MakeEvent(EventKind::kQueued, "r"), WallTimeAt(ms));
  }
  const std::vector<Event> merged = MergeEvents({ring.EventsAfter(0)});
  for (std::size_t i = 0; i < merged.size(); ++i) {
    CHECK(merged[i].sequence == i + 1);
  }
}

// Guards against a ring that exceeds its capacity or returns events twice.
TEST_CASE("a full ring drops the oldest events") {
  EventRing ring = MakeRing("entry", 4);
  for (int i = 0; i < 10; ++i) {
    ring.Record(MakeEvent(EventKind::kQueued, std::to_string(i)),
                WallTimeAt(i));
  }
  const std::vector<Event> retained = ring.EventsAfter(0);
  REQUIRE(retained.size() == 4);
  CHECK(retained.front().request.value == "6");
  CHECK(retained.back().request.value == "9");
  CHECK(ring.EventsAfter(9).size() == 1);
  CHECK(ring.EventsAfter(10).empty());
}

TEST_CASE("an event from two sources is returned once") {
  EventRing ring = MakeRing("entry");
  ring.Record(MakeEvent(EventKind::kQueued, "r"), WallTimeAt(1));
  CHECK(MergeEvents({ring.EventsAfter(0), ring.EventsAfter(0)}).size() == 1);
}

TEST_CASE("events are selected by every field of the filter") {
  EventRing ring = MakeRing("entry");
  ring.Record(MakeEvent(EventKind::kQueued, "r1"), WallTimeAt(1));
  ring.Record(MakeEvent(EventKind::kQueued, "r2"), WallTimeAt(2));
  EventFilter filter;
  filter.request.value = "r2";
  CHECK(FilterEvents(ring.EventsAfter(0), filter).size() == 1);
  filter.process.value = "other";
  CHECK(FilterEvents(ring.EventsAfter(0), filter).empty());
}

TEST_CASE("the diagram has one column for each process") {
  EventRing entry = MakeRing("entry-1");
  EventRing agent = MakeRing("draft-1");
  entry.Record(MakeEvent(EventKind::kRequestAccepted, "r1"), WallTimeAt(1));
  agent.Receive(entry.Send(WallTimeAt(1)), WallTimeAt(2));
  Event refused = MakeEvent(EventKind::kRefused, "r1");
  refused.code = 1115;
  agent.Record(refused, WallTimeAt(3));
  CHECK(
      DrawTimeline(MergeEvents({entry.EventsAfter(0), agent.EventsAfter(0)})) ==
      "        ms  entry-1  draft-1\n"
      "     0.000  *        |        request_accepted\n"
      "     2.000  |        *        refused code=1115\n");
}

TEST_CASE("every kind has a name that parses to the same kind") {
  for (int i = 0; i <= static_cast<int>(EventKind::kLogUp); ++i) {
    const auto kind = static_cast<EventKind>(i);
    CHECK(ParseEventKind(EventKindName(kind)) == kind);
  }
  CHECK_FALSE(ParseEventKind("no_such_kind").has_value());
}

}  // namespace
}  // namespace toucanhollow
