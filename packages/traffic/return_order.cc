#include "traffic/return_order.h"

#include <algorithm>

namespace toucanhollow {
namespace {

// Callers return after up to a third of their time; first tries of one route
// differ by less than this.
constexpr double kReturningBelow = 0.8;
// A first try waits for this part of its target latency; the rest is left for
// the server.
constexpr double kFirstWaitPart = 0.5;
// The platform's callers leave a stream after the longest of these.
constexpr Duration kLeastPatience = Seconds(2);
constexpr int kPatienceInTargets = 4;
constexpr int kPatienceInGaps = 8;
constexpr double kReturningWaitPart = 0.4;
// Just under the third that callers honour.
constexpr double kReturnPart = 0.32;

Duration Part(Duration duration, double part) {
  return std::chrono::duration_cast<Duration>(duration * part);
}

}  // namespace

bool IsReturning(PatienceMemory& memory,
                 const std::string& route,
                 Duration allowed) {
  Duration& longest = memory.longest[route];
  longest = std::max(longest, allowed);
  return allowed < Part(longest, kReturningBelow);
}

Duration CallerPatience(Duration target_latency, Duration max_event_gap) {
  return std::max({kLeastPatience, target_latency * kPatienceInTargets,
                   max_event_gap * kPatienceInGaps});
}

Duration WaitForRoom(bool returning,
                     Duration target_latency,
                     Duration patience,
                     Duration left) {
  const Duration first = Part(target_latency, kFirstWaitPart);
  if (!returning) {
    return first;
  }
  // What a first try leaves for the server is left here too.
  const Duration longest = std::max(first, patience - (target_latency - first));
  return std::min(longest, Part(left, kReturningWaitPart));
}

Duration ReturnAfter(Duration expected, Duration left) {
  return std::clamp(Part(left, kReturnPart), Duration(0), expected);
}

}  // namespace toucanhollow
