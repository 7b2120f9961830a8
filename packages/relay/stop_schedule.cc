#include "relay/stop_schedule.h"

#include <algorithm>

namespace toucanhollow {
namespace {

// The external load balancer needs two failed probes, one a second, before it
// stops sending connections.
constexpr Duration kBalancerLag = Milliseconds(2600);
// Part of a short grace time after which the host does not wait for the load
// balancer any longer.
constexpr double kListenFraction = 2.0 / 3;
// Time in which a connection that a caller has begun is established.
constexpr Duration kHandshakeTime = Milliseconds(200);
// Time between the last answers and the kill, in which answers are sent and
// read, and connections closed. The platform expects requests to be cut in the
// last sixth of the grace time. Answers that servers end before it need some
// time to arrive, so this is less.
constexpr Duration kMaxEndTime = Milliseconds(1000);
constexpr int kEndTimeDivisor = 7;
// Part of that time that is kept for the end of the process itself.
constexpr int kExitTimeDivisor = 4;
// A request that is not a stream is expected to take at most this many times
// its target latency.
constexpr int kExpectedTargetLatencies = 2;

}  // namespace

StopSchedule PlanStop(TimePoint stop_at, Duration grace) {
  const Duration end_time = std::min(kMaxEndTime, grace / kEndTimeDivisor);
  const auto listen_time =
      std::chrono::duration_cast<Duration>(grace * kListenFraction);
  StopSchedule stop;
  stop.listen_until = stop_at + std::min(kBalancerLag, listen_time);
  stop.answer_by = stop_at + grace - end_time;
  stop.accept_until =
      std::min(stop.listen_until + kHandshakeTime, stop.answer_by);
  stop.close_by = stop_at + grace - end_time / kExitTimeDivisor;
  return stop;
}

std::optional<TimePoint> LimitDeadline(const StopSchedule& stop,
                                       const Route& route,
                                       TimePoint deadline,
                                       TimePoint now) {
  if (deadline <= stop.answer_by) {
    return deadline;
  }
  // The load balancer may send a refused caller back to this host.
  const bool others_are_asked = now >= stop.listen_until;
  // How long a stream lasts is not known.
  const bool may_outlast =
      route.kind == RouteKind::kStream ||
      stop.answer_by - now < route.target_latency * kExpectedTargetLatencies;
  if (now >= stop.answer_by || (others_are_asked && may_outlast)) {
    return std::nullopt;
  }
  return stop.answer_by;
}

}  // namespace toucanhollow
