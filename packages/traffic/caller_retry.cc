#include "traffic/caller_retry.h"

#include <algorithm>

namespace toucanhollow {
namespace {

// A timeout below this fraction of the longest one on the route is that of a
// retry: callers retry after up to a third of their timeout, and the timeouts
// of first attempts differ by less.
constexpr double kRetryTimeoutFraction = 0.8;
// A first attempt waits for this fraction of its target latency; the rest is
// left for the server.
constexpr double kFirstWaitFraction = 0.5;
// The platform's callers disconnect from a stream after the longest of these.
constexpr Duration kMinCallerTimeout = Seconds(2);
constexpr int kTimeoutInTargetLatencies = 4;
constexpr int kTimeoutInEventGaps = 8;
constexpr double kRetryWaitFraction = 0.4;
// Just under the third of the remaining time that callers honour.
constexpr double kRetryDelayFraction = 0.32;

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

}  // namespace

bool IsCallerRetry(ObservedTimeouts& timeouts,
                   const std::string& route,
                   Duration timeout) {
  Duration& longest = timeouts.longest[route];
  longest = std::max(longest, timeout);
  return timeout < Scale(longest, kRetryTimeoutFraction);
}

Duration EstimateCallerTimeout(Duration target_latency,
                               Duration max_event_gap) {
  return std::max({kMinCallerTimeout,
                   target_latency * kTimeoutInTargetLatencies,
                   max_event_gap * kTimeoutInEventGaps});
}

Duration MaxQueueWait(bool is_retry,
                      Duration target_latency,
                      Duration caller_timeout,
                      Duration remaining) {
  const Duration first_wait = Scale(target_latency, kFirstWaitFraction);
  if (!is_retry) {
    return first_wait;
  }
  // The time that a first attempt leaves for the server is left here too.
  const Duration longest =
      std::max(first_wait, caller_timeout - (target_latency - first_wait));
  return std::min(longest, Scale(remaining, kRetryWaitFraction));
}

Duration RetryDelay(Duration expected, Duration remaining) {
  return std::clamp(Scale(remaining, kRetryDelayFraction), Duration(0),
                    expected);
}

}  // namespace toucanhollow
