// Recognizes callers that retry after a refusal, and computes how long requests
// wait in the queue and when refused callers should retry.
//
// The rules apply when more requests arrive than a service can serve, or when a
// service makes no progress for seconds. A caller that was refused once has one
// attempt left, so its request goes first and waits longer than that of a
// caller that can still be asked to retry.
#ifndef TRAFFIC_CALLER_RETRY_H_
#define TRAFFIC_CALLER_RETRY_H_

#include <map>
#include <string>

#include "base/time.h"

namespace toucanhollow {

// The longest timeout with which a request arrived, by route.
struct ObservedTimeouts {
  std::map<std::string, Duration> longest;

  bool operator==(const ObservedTimeouts&) const = default;
};

// True if the caller has spent a part of its timeout on an earlier attempt: the
// timeout is much shorter than the longest one on the route. Also records the
// timeout.
bool IsCallerRetry(ObservedTimeouts& timeouts,
                   const std::string& route,
                   Duration timeout);

// How long callers of a route wait for the next event of a stream, the first
// one included, before they disconnect.
Duration EstimateCallerTimeout(Duration target_latency, Duration max_event_gap);

// How long a request may wait in the queue. `caller_timeout` is how long its
// caller waits for the first byte, and `remaining` is the time to its deadline.
Duration MaxQueueWait(bool is_retry,
                      Duration target_latency,
                      Duration caller_timeout,
                      Duration remaining);

// After what time a refused caller should retry. `expected` is the expected
// time until a slot is free, and `remaining` is the time to the deadline.
// Callers honour a delay of at most a third of their remaining time.
Duration RetryDelay(Duration expected, Duration remaining);

}  // namespace toucanhollow

#endif  // TRAFFIC_CALLER_RETRY_H_
