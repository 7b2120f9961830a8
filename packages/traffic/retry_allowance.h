// RetryAllowance: this host's part of the retries that all entry hosts
// together may add to the load of a service in a sliding window.
#ifndef TRAFFIC_RETRY_ALLOWANCE_H_
#define TRAFFIC_RETRY_ALLOWANCE_H_

#include <deque>

#include "base/time.h"

namespace toucanhollow {

// The bound that holds over all hosts.
struct RetryBound {
  double ratio = 0.2;  // retries for each request of the window
  Duration window = Seconds(10);
  double slack = 0;  // retries beyond the ratio

  bool operator==(const RetryBound&) const = default;
};

struct RetryAllowance {
  std::deque<TimePoint> requests;
  std::deque<TimePoint> retries;

  bool operator==(const RetryAllowance&) const = default;
};

// A host may not use the whole ratio: requests counted by one host in its
// window may have been sent in the window before.
inline constexpr double kRatioUse = 0.6;
// The slack is divided among the hosts, with room for as many restarted ones,
// which have forgotten what they spent.
inline constexpr double kSlackUse = 0.5;

void NoteRequest(RetryAllowance& allowance,
                 const RetryBound& bound,
                 TimePoint now);

// Spends one retry if the window has room. `hosts` is the number of entry
// hosts that share the bound, at least 1.
bool SpendRetry(RetryAllowance& allowance,
                const RetryBound& bound,
                int hosts,
                TimePoint now);

}  // namespace toucanhollow

#endif  // TRAFFIC_RETRY_ALLOWANCE_H_
