#include "traffic/retry_allowance.h"

#include <algorithm>

namespace toucanhollow {
namespace {

void DropOld(std::deque<TimePoint>& times, Duration window, TimePoint now) {
  while (!times.empty() && now - times.front() > window) {
    times.pop_front();
  }
}

}  // namespace

void CountRequest(RetryAllowance& allowance,
                  const RetryBound& bound,
                  TimePoint now) {
  DropOld(allowance.requests, bound.window, now);
  allowance.requests.push_back(now);
}

bool SpendRetry(RetryAllowance& allowance,
                const RetryBound& bound,
                std::optional<int> hosts,
                TimePoint now) {
  DropOld(allowance.requests, bound.window, now);
  DropOld(allowance.retries, bound.window, now);
  const double slack_share =
      hosts ? bound.slack * kUsableSlack / std::max(*hosts, 1) : 0;
  const double allowed = bound.ratio * kUsableRatio *
                             static_cast<double>(allowance.requests.size()) +
                         slack_share;
  if (static_cast<double>(allowance.retries.size()) + 1 > allowed) {
    return false;
  }
  allowance.retries.push_back(now);
  return true;
}

}  // namespace toucanhollow
