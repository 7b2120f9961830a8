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

void NoteRequest(RetryAllowance& allowance,
                 const RetryBound& bound,
                 TimePoint now) {
  DropOld(allowance.requests, bound.window, now);
  allowance.requests.push_back(now);
}

bool SpendRetry(RetryAllowance& allowance,
                const RetryBound& bound,
                int hosts,
                TimePoint now) {
  DropOld(allowance.requests, bound.window, now);
  DropOld(allowance.retries, bound.window, now);
  const double room =
      bound.ratio * kRatioUse * static_cast<double>(allowance.requests.size()) +
      bound.slack * kSlackUse / std::max(hosts, 1);
  if (static_cast<double>(allowance.retries.size()) + 1 > room) {
    return false;
  }
  allowance.retries.push_back(now);
  return true;
}

}  // namespace toucanhollow
