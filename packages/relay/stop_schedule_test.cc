#include "relay/stop_schedule.h"

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

constexpr TimePoint kStop{Seconds(100)};

Route MakeRoute(RouteKind kind) {
  Route route;
  route.kind = kind;
  route.target_latency = Milliseconds(200);
  return route;
}

// Guards against an end that begins so late that answers are lost, or so early
// that requests are cut which the platform expects to be finished.
TEST_CASE("the end of a stop lies in the last sixth of the grace time") {
  for (const Duration grace :
       {Milliseconds(500), Seconds(2), Seconds(4), Seconds(8), Seconds(60)}) {
    const StopSchedule stop = PlanStop(kStop, grace);
    INFO(ToMilliseconds(grace));
    CHECK(stop.listen_until < stop.accept_until);
    CHECK(stop.accept_until <= stop.answer_by);
    CHECK(stop.answer_by < stop.close_by);
    CHECK(stop.close_by < kStop + grace);
    CHECK(stop.answer_by >= kStop + grace - grace / 6);
  }
  CHECK(PlanStop(kStop, Seconds(8)).listen_until == kStop + Milliseconds(2600));
  CHECK(PlanStop(kStop, Seconds(8)).answer_by == kStop + Seconds(7));
}

// Guards against refusals of requests that end in time.
TEST_CASE("a deadline before the end of a stop stays as it is") {
  const StopSchedule stop = PlanStop(kStop, Seconds(8));
  for (const RouteKind kind :
       {RouteKind::kSafe, RouteKind::kUnsafe, RouteKind::kStream}) {
    CHECK(LimitDeadline(stop, MakeRoute(kind), stop.answer_by,
                        stop.answer_by - Milliseconds(10)) == stop.answer_by);
    CHECK(LimitDeadline(stop, MakeRoute(kind), kStop + Seconds(5),
                        kStop + Seconds(4)) == kStop + Seconds(5));
  }
}

// Guards against refusals while the load balancer still sends connections.
TEST_CASE("a request is served within the grace time while callers connect") {
  const StopSchedule stop = PlanStop(kStop, Seconds(8));
  const TimePoint late = kStop + Seconds(20);
  for (const RouteKind kind :
       {RouteKind::kSafe, RouteKind::kUnsafe, RouteKind::kStream}) {
    CHECK(LimitDeadline(stop, MakeRoute(kind), late, kStop) == stop.answer_by);
  }
}

// Guards against requests that are cut although other hosts had the time.
TEST_CASE("a request that may outlast the host is refused") {
  const StopSchedule stop = PlanStop(kStop, Seconds(8));
  const TimePoint late = kStop + Seconds(20);
  const Route unsafe = MakeRoute(RouteKind::kUnsafe);
  CHECK(LimitDeadline(stop, unsafe, late, stop.answer_by - Milliseconds(400)) ==
        stop.answer_by);
  CHECK_FALSE(
      LimitDeadline(stop, unsafe, late, stop.answer_by - Milliseconds(399)));
  CHECK_FALSE(LimitDeadline(stop, MakeRoute(RouteKind::kStream), late,
                            stop.listen_until));
  CHECK_FALSE(LimitDeadline(stop, unsafe, late, stop.answer_by));
}

// Guards against a stop that cuts answers before the last sixth of the grace
// time, or while those which servers ended before it are on their way.
TEST_CASE("requests are cut in the last sixth of the grace time") {
  constexpr Duration kWay = Milliseconds(20);
  const TimePoint stop_at{Seconds(100)};
  for (const Duration grace :
       {Seconds(2), Seconds(4), Seconds(8), Seconds(30)}) {
    const StopSchedule stop = PlanStop(stop_at, grace);
    CHECK(stop.answer_by - stop_at >= grace * 5 / 6 + kWay);
    CHECK(stop.answer_by < stop.close_by);
    CHECK(stop.close_by < stop_at + grace);
    CHECK(stop.listen_until <= stop.accept_until);
    CHECK(stop.accept_until <= stop.answer_by);
  }
}

}  // namespace
}  // namespace toucanhollow
