// Tells a process that was slow from one that had no processor, for tests with
// time limits.
#ifndef EVENT_LOOP_PROCESSOR_WAIT_H_
#define EVENT_LOOP_PROCESSOR_WAIT_H_

#include <chrono>
#include <cstdint>
#include <fstream>

#include "event_loop/event_loop.h"

namespace toucanhollow {

// How long the calling process has waited for a processor in all; zero where
// the kernel does not count it.
inline Duration TimeWithoutProcessor() {
  std::int64_t ran_ns = 0;
  std::int64_t waited_ns = 0;
  std::ifstream("/proc/self/schedstat") >> ran_ns >> waited_ns;
  return std::chrono::duration_cast<Duration>(
      std::chrono::nanoseconds(waited_ns));
}

// Measures time without that in which the process had no processor.
class OwnTime {
 public:
  Duration Passed() const {
    return EventLoop::Now() - this->begin -
           (TimeWithoutProcessor() - this->waited_before);
  }

 private:
  TimePoint begin = EventLoop::Now();
  Duration waited_before = TimeWithoutProcessor();
};

}  // namespace toucanhollow

#endif  // EVENT_LOOP_PROCESSOR_WAIT_H_
