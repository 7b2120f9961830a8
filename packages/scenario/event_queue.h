// Simulated time: runs callbacks in the order of time, and those of one
// moment in an order drawn from the seed.
#ifndef SCENARIO_EVENT_QUEUE_H_
#define SCENARIO_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "base/time.h"

namespace toucanhollow {

class EventQueue {
 public:
  explicit EventQueue(std::uint64_t seed);

  TimePoint Now() const { return this->now; }
  void After(Duration delay, std::function<void()> callback);
  // Runs every callback up to and including `end`.
  void RunUntil(TimePoint end);
  // Next number of the seeded sequence.
  std::uint64_t Draw();
  // Uniform draw from [low, high].
  Duration DrawDuration(Duration low, Duration high);

 private:
  TimePoint now{};
  std::uint64_t random;
  std::multimap<std::pair<TimePoint, std::uint64_t>, std::function<void()>>
      events;
};

}  // namespace toucanhollow

#endif  // SCENARIO_EVENT_QUEUE_H_
