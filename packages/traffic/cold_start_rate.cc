#include "traffic/cold_start_rate.h"

#include <algorithm>

namespace toucanhollow {

bool CanSend(ColdStartRate& rate,
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
      (cold_requests_per_s * bound.burst_factor + bound.slack) *
      kUsableColdBound;
  // Each host may send one request per second, however many hosts there are.
  const double host_limit = std::max(all_hosts / std::max(hosts, 1), 1.0);
  return static_cast<double>(rate.sent.size()) + 1 <= host_limit;
}

void RecordSend(ColdStartRate& rate, TimePoint now) {
  rate.sent.push_back(now);
}

}  // namespace toucanhollow
