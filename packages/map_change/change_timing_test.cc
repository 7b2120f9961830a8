#include "map_change/change_timing.h"

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

// Guards against a pass time that spans the forming of a group.
TEST_CASE("passes are timed within one epoch") {
  const auto at = [](std::int64_t ms) { return TimePoint(Milliseconds(ms)); };
  PassClock clock = TakeStep({}, 1, 10, at(0));
  CHECK(clock.pass == Duration(0));
  clock = TakeStep(clock, 1, 10, at(40));
  CHECK(clock.pass == Duration(0));
  clock = TakeStep(clock, 1, 12, at(120));
  CHECK(clock.pass == Milliseconds(60));
  clock = TakeStep(clock, 2, 40, at(5000));
  CHECK(clock.pass == Milliseconds(60));
  clock = TakeStep(clock, 2, 41, at(5080));
  CHECK(clock.pass == Milliseconds(80));
}

// Guards against a change that loads experts until demand has shifted again.
TEST_CASE("loads of one change fit the time for loading") {
  CHECK(LoadsPerChange(Milliseconds(111)) == 2);
  CHECK(LoadsPerChange(Milliseconds(16)) == 14);
  CHECK(LoadsPerChange(Seconds(2)) == 1);
  CHECK(LoadsPerChange(Duration(0)) == 1);
}

// Guards against a group that stands at a held pass because the coordinator is
// slower than its passes.
TEST_CASE("the hold is as far ahead as the exchanges take") {
  CHECK(HoldLead(Milliseconds(60), Milliseconds(20)) == 2);
  CHECK(HoldLead(Milliseconds(60), Milliseconds(21)) == 3);
  CHECK(HoldLead(Milliseconds(30), Milliseconds(30)) == 4);
  CHECK(HoldLead(Milliseconds(1), Milliseconds(200)) == kMaxHoldLead);
  CHECK(HoldLead(Duration(0), Milliseconds(20)) == kMaxHoldLead);
}

}  // namespace
}  // namespace toucanhollow
