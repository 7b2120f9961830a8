// Time types. Functions that make decisions take the present time as an
// argument and never read a clock.
#ifndef BASE_TIME_H_
#define BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace toucanhollow {

using Duration = std::chrono::microseconds;

// Monotonic time of one process. Never compared across processes.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
  // NOLINTNEXTLINE(readability-identifier-naming): required by <chrono>.
  static constexpr bool is_steady = true;
};
using TimePoint = MonotonicClock::time_point;

// Monotonic time of one machine that also counts while the machine is
// suspended, unlike MonotonicClock. Never compared across machines.
struct BootClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<BootClock, Duration>;
  // NOLINTNEXTLINE(readability-identifier-naming): required by <chrono>.
  static constexpr bool is_steady = true;
};
using BootTime = BootClock::time_point;

// Wall-clock time in microseconds since the Unix epoch. Used for the issue
// time of idempotency keys and for the timeline. The clocks of two hosts may
// differ.
struct WallClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<WallClock, Duration>;
  // NOLINTNEXTLINE(readability-identifier-naming): required by <chrono>.
  static constexpr bool is_steady = false;
};
using WallTime = WallClock::time_point;

constexpr Duration Milliseconds(std::int64_t count) {
  return std::chrono::milliseconds(count);
}

constexpr Duration Seconds(std::int64_t count) {
  return std::chrono::seconds(count);
}

// Converts to fractional milliseconds, for scores and reports.
constexpr double ToMilliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

}  // namespace toucanhollow

#endif  // BASE_TIME_H_
