#include "traffic/start_rate.h"

#include <algorithm>

namespace toucanhollow {

bool MaySend(StartRate& rate,
             double cold_requests_per_s,
             const ColdBound& bound,
             int hosts,
             TimePoint now) {
  while (!rate.sent.empty() && now - rate.sent.front() >= Seconds(1)) {
    rate.sent.pop_front();
  }
  if (cold_requests_per_s <= 0) {
    return true;
  }
  const double all_hosts =
      (cold_requests_per_s * bound.burst_factor + bound.slack) * kColdBoundUse;
  // One request a second is allowed however many hosts there are.
  const double own = std::max(all_hosts / std::max(hosts, 1), 1.0);
  return static_cast<double>(rate.sent.size()) + 1 <= own;
}

void NoteSent(StartRate& rate, TimePoint now) {
  rate.sent.push_back(now);
}

}  // namespace toucanhollow
