// StopSchedule: the steps of a planned stop.
#ifndef RELAY_STOP_SCHEDULE_H_
#define RELAY_STOP_SCHEDULE_H_

#include "base/time.h"

namespace toucanhollow {

// The platform kills a process that still runs when its grace time is over.
struct StopSchedule {
  // Callers may connect until then. Later connections go to other hosts.
  TimePoint listen_until;
  // Every request has its final answer by then.
  TimePoint answer_by;
  // The answers have been sent and the connections closed by then.
  TimePoint close_by;

  bool operator==(const StopSchedule&) const = default;
};

// `grace` is the time from the stop to the kill.
StopSchedule PlanStop(TimePoint stop_at, Duration grace);

}  // namespace toucanhollow

#endif  // RELAY_STOP_SCHEDULE_H_
