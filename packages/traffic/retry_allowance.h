// RetryAllowance: this host's share of the retries that all entry hosts
// together may add to the load of a service in a sliding window.
#ifndef TRAFFIC_RETRY_ALLOWANCE_H_
#define TRAFFIC_RETRY_ALLOWANCE_H_

#include <deque>
#include <optional>

#include "base/time.h"

namespace toucanhollow {

// The bound on the retries of all hosts together.
struct RetryBound {
  double ratio = 0.2;  // retries per request in the window
  Duration window = Seconds(10);
  double slack = 0;  // retries beyond the ratio

  bool operator==(const RetryBound&) const = default;
};

struct RetryAllowance {
  std::deque<TimePoint> requests;
  std::deque<TimePoint> retries;

  bool operator==(const RetryAllowance&) const = default;
};

// Fraction of the ratio that a host uses. The whole ratio could exceed the
// bound, because requests that a host counts in its window may have been sent
// in the previous one.
inline constexpr double kUsableRatio = 0.6;
// Fraction of the slack that is divided among the hosts. The rest is reserved
// for as many restarted hosts, which no longer know what they spent.
inline constexpr double kUsableSlack = 0.5;

void CountRequest(RetryAllowance& allowance,
                  const RetryBound& bound,
                  TimePoint now);

// Records a retry and returns true if the allowance permits one more. `hosts`
// is the number of entry hosts that share the slack, at least 1; while it is
// not known, this host uses none of the slack.
bool SpendRetry(RetryAllowance& allowance,
                const RetryBound& bound,
                std::optional<int> hosts,
                TimePoint now);

}  // namespace toucanhollow

#endif  // TRAFFIC_RETRY_ALLOWANCE_H_
