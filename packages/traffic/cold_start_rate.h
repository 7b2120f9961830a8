// ColdStartRate: limits the rate at which a host sends requests to one server
// to the host's share of what a cold server can serve.
//
// A server may become cold at any moment and hosts learn of it late, so the
// bound applies to every server of a service that has a cold phase.
#ifndef TRAFFIC_COLD_START_RATE_H_
#define TRAFFIC_COLD_START_RATE_H_

#include <deque>

#include "base/time.h"

namespace toucanhollow {

// The bound on the requests of all hosts together in any second: `burst_factor`
// times the rate of a cold server, plus `slack`.
struct ColdBound {
  double burst_factor = 1.5;
  double slack = 5;

  bool operator==(const ColdBound&) const = default;
};

struct ColdStartRate {
  std::deque<TimePoint> sent;  // in the last second

  bool operator==(const ColdStartRate&) const = default;
};

// Fraction of the bound that the hosts use together; the rest covers restarted
// hosts, which no longer know what they sent, and network delays.
inline constexpr double kUsableColdBound = 0.7;

// True if one more request may be sent to the server now.
bool CanSend(ColdStartRate& rate,
             double cold_requests_per_s,
             const ColdBound& bound,
             int hosts,
             TimePoint now);

void RecordSend(ColdStartRate& rate, TimePoint now);

}  // namespace toucanhollow

#endif  // TRAFFIC_COLD_START_RATE_H_
