// StartRate: keeps what a host sends to one server within the host's part of
// what a cold server bears.
//
// A server may turn cold at any moment and the news of it is late, so the
// bound applies to every server of a service that has a cold phase.
#ifndef TRAFFIC_START_RATE_H_
#define TRAFFIC_START_RATE_H_

#include <deque>

#include "base/time.h"

namespace toucanhollow {

// The bound that holds over all hosts: requests in any second.
struct ColdBound {
  double burst_factor = 1.5;
  double slack = 5;

  bool operator==(const ColdBound&) const = default;
};

struct StartRate {
  std::deque<TimePoint> sent;  // in the last second

  bool operator==(const StartRate&) const = default;
};

// Part of the bound that the hosts use together; the rest covers a host that
// restarted and forgot what it sent, and delays on the way.
inline constexpr double kColdBoundUse = 0.7;

// True if one more request may go to the server now.
bool MaySend(StartRate& rate,
             double cold_requests_per_s,
             const ColdBound& bound,
             int hosts,
             TimePoint now);

void NoteSent(StartRate& rate, TimePoint now);

}  // namespace toucanhollow

#endif  // TRAFFIC_START_RATE_H_
