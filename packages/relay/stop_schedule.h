// StopSchedule: the steps of a planned stop, and how its end limits requests.
#ifndef RELAY_STOP_SCHEDULE_H_
#define RELAY_STOP_SCHEDULE_H_

#include <optional>

#include "base/time.h"
#include "traffic/traffic_config.h"

namespace toucanhollow {

// The platform kills a process that still runs when its grace time is over.
struct StopSchedule {
  // Callers may connect until then. Later connections go to other hosts.
  TimePoint listen_until;
  // Connections that were being established are accepted until then.
  TimePoint accept_until;
  // Every request has its final answer by then.
  TimePoint answer_by;
  // The answers have been sent and the connections closed by then.
  TimePoint close_by;

  bool operator==(const StopSchedule&) const = default;
};

// `grace` is the time from the stop to the kill.
StopSchedule PlanStop(TimePoint stop_at, Duration grace);

// Returns the deadline of a request that arrives at a stopping host, given the
// one that it would have. Returns nothing if the request is to be refused at
// once: it may outlast the host, and another host has the time to serve it.
std::optional<TimePoint> LimitDeadline(const StopSchedule& stop,
                                       const Route& route,
                                       TimePoint deadline,
                                       TimePoint now);

}  // namespace toucanhollow

#endif  // RELAY_STOP_SCHEDULE_H_
