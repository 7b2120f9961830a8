#include "relay/stop_schedule.h"

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

constexpr TimePoint kStop{Seconds(100)};

// Guards against an end that begins so late that answers are lost, or so early
// that requests are cut which the platform expects to be finished.
TEST_CASE("the end of a stop lies in the last sixth of the grace time") {
  for (const Duration grace :
       {Milliseconds(500), Seconds(2), Seconds(4), Seconds(8), Seconds(60)}) {
    const StopSchedule stop = PlanStop(kStop, grace);
    INFO(ToMilliseconds(grace));
    CHECK(stop.listen_until < stop.answer_by);
    CHECK(stop.answer_by < stop.close_by);
    CHECK(stop.close_by < kStop + grace);
    CHECK(stop.answer_by >= kStop + grace - grace / 6);
  }
  CHECK(PlanStop(kStop, Seconds(8)).listen_until == kStop + Milliseconds(2600));
  CHECK(PlanStop(kStop, Seconds(8)).answer_by == kStop + Seconds(7));
}

}  // namespace
}  // namespace toucanhollow
