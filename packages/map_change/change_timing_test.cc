#include "map_change/change_timing.h"

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

// Guards against a pass duration that includes the time in which a group was
// re-formed.
TEST_CASE("pass durations are measured within one epoch") {
  const auto at = [](std::int64_t ms) { return TimePoint(Milliseconds(ms)); };
  PassTiming timing = UpdatePassTiming({}, 1, 10, at(0));
  CHECK(timing.pass_duration == Duration(0));
  timing = UpdatePassTiming(timing, 1, 10, at(40));
  CHECK(timing.pass_duration == Duration(0));
  timing = UpdatePassTiming(timing, 1, 12, at(120));
  CHECK(timing.pass_duration == Milliseconds(60));
  timing = UpdatePassTiming(timing, 2, 40, at(5000));
  CHECK(timing.pass_duration == Milliseconds(60));
  timing = UpdatePassTiming(timing, 2, 41, at(5080));
  CHECK(timing.pass_duration == Milliseconds(80));
}

// Guards against a change that is still loading experts when demand has shifted
// again.
TEST_CASE("the loads of one change fit the load budget") {
  CHECK(MaxLoadsPerChange(Milliseconds(111)) == 2);
  CHECK(MaxLoadsPerChange(Milliseconds(16)) == 14);
  CHECK(MaxLoadsPerChange(Seconds(2)) == 1);
  CHECK(MaxLoadsPerChange(Duration(0)) == 1);
}

// Guards against a group that stalls at a held pass because the coordinator is
// slower than the passes.
TEST_CASE("the hold lead covers the round trips before the switch") {
  CHECK(ComputeHoldLead(Milliseconds(60), Milliseconds(20)) == 2);
  CHECK(ComputeHoldLead(Milliseconds(60), Milliseconds(21)) == 3);
  CHECK(ComputeHoldLead(Milliseconds(30), Milliseconds(30)) == 4);
  CHECK(ComputeHoldLead(Milliseconds(1), Milliseconds(200)) == kMaxHoldLead);
  CHECK(ComputeHoldLead(Duration(0), Milliseconds(20)) == kMaxHoldLead);
}

}  // namespace
}  // namespace toucanhollow
