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
// Callers of streams give up after 2 s without a first event.
constexpr Duration kLongestWait = Milliseconds(1500);
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

Duration WaitForRoom(bool returning, Duration target_latency, Duration left) {
  return returning ? std::min(kLongestWait, Part(left, kReturningWaitPart))
                   : Part(target_latency, kFirstWaitPart);
}

Duration ReturnAfter(Duration expected, Duration left) {
  return std::clamp(Part(left, kReturnPart), Duration(0), expected);
}

}  // namespace toucanhollow
