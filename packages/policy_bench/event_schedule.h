// EventSchedule: runs functions in order of their time, with passed-in time.
#ifndef POLICY_BENCH_EVENT_SCHEDULE_H_
#define POLICY_BENCH_EVENT_SCHEDULE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "base/time.h"

namespace toucanhollow {

struct ScheduledEvent {
  TimePoint time;
  // Events of the same time run in the order in which they were scheduled.
  std::uint64_t number = 0;
  std::function<void()> run;

  bool operator<(const ScheduledEvent& other) const {
    return std::pair(other.time, other.number) < std::pair(time, number);
  }
};

struct EventSchedule {
  TimePoint now;
  std::uint64_t next_number = 0;
  std::priority_queue<ScheduledEvent> events;
};

inline void RunAfter(EventSchedule& schedule,
                     Duration delay,
                     std::function<void()> run) {
  schedule.events.push(
      {schedule.now + delay, schedule.next_number++, std::move(run)});
}

// Runs all events up to `end`.
inline void RunUntil(EventSchedule& schedule, TimePoint end) {
  while (!schedule.events.empty() && schedule.events.top().time <= end) {
    const ScheduledEvent event = schedule.events.top();
    schedule.events.pop();
    schedule.now = event.time;
    event.run();
  }
  schedule.now = end;
}

}  // namespace toucanhollow

#endif  // POLICY_BENCH_EVENT_SCHEDULE_H_
