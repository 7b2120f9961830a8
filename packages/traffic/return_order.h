// Which callers have been refused before, and when refused callers should come
// back.
//
// The load it answers: more requests than a service bears, or a service that
// stands for seconds. A caller that was refused once has one try left, so it
// goes first and waits longer than a caller that can still be asked to return.
#ifndef TRAFFIC_RETURN_ORDER_H_
#define TRAFFIC_RETURN_ORDER_H_

#include <map>
#include <string>

#include "base/time.h"

namespace toucanhollow {

// The longest time that callers of each route were seen to allow.
struct PatienceMemory {
  std::map<std::string, Duration> longest;

  bool operator==(const PatienceMemory&) const = default;
};

// True if the caller has used up a part of its time elsewhere: it allows much
// less than others on the route. Also remembers `allowed`.
bool IsReturning(PatienceMemory& memory,
                 const std::string& route,
                 Duration allowed);

// How long callers of a route wait for the next event of a stream, the first
// one included, before they leave.
Duration CallerPatience(Duration target_latency, Duration max_event_gap);

// How long a request may wait for room. `patience` is how long its caller waits
// for the first byte, and `left` is the time to its deadline.
Duration WaitForRoom(bool returning,
                     Duration target_latency,
                     Duration patience,
                     Duration left);

// When a refused caller should come back. `expected` is when room is expected.
// Callers honour at most a third of the time that they have left.
Duration ReturnAfter(Duration expected, Duration left);

}  // namespace toucanhollow

#endif  // TRAFFIC_RETURN_ORDER_H_
