// PermitLedger: the permits to send requests that an agent gives to entry
// hosts.
//
// A cold server takes few requests per second from all hosts together, and any
// server may become cold before the hosts learn of it. Each request to a server
// with a cold phase therefore needs a permit of the agent on the server's
// machine. Only this agent gives permits for the server, so the bound holds for
// any number of hosts, whatever they know of each other.
#ifndef TRAFFIC_PERMIT_LEDGER_H_
#define TRAFFIC_PERMIT_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "base/time.h"

namespace toucanhollow {

// The bound on the requests of all hosts together in any second: `burst_factor`
// times the rate of a cold server, plus `slack`.
struct ColdBound {
  double burst_factor = 1.5;
  double slack = 5;

  bool operator==(const ColdBound&) const = default;
};

// A host may write the request until this long after it asked for the permit.
inline constexpr Duration kPermitUseTime = Milliseconds(150);

// A permit counts as used until this long after it was given. The excess over
// kPermitUseTime covers a host that is descheduled between its look at the
// clock and the write.
inline constexpr Duration kPermitLifetime = Milliseconds(250);

// The permits given in a span of this length can all be used in one second.
inline constexpr Duration kPermitWindow = Seconds(1) + kPermitLifetime;

// Fraction of the bound that is given out. The rest covers hosts that are
// descheduled for longer.
inline constexpr double kUsableColdBound = 0.9;

// The permits for one server: a token bucket that is empty when the agent
// starts. In any span, agents that follow each other on one machine give at
// most one full bucket and what is refilled in the span, however often they
// restart.
struct PermitRate {
  double per_s = 0;
  double burst = 0;

  bool operator==(const PermitRate&) const = default;
};

// The rate for a server that takes `cold_requests_per_s` requests per second
// while it is cold. The bucket is refilled at that rate, if the bound allows
// it, and holds what the bound leaves.
PermitRate FindPermitRate(double cold_requests_per_s, const ColdBound& bound);

struct PermitBucket {
  double permits = 0;
  TimePoint updated_at;

  bool operator==(const PermitBucket&) const = default;
};

struct PermitLedger {
  // The buckets of servers without an entry were empty then: at the start, as
  // another process may have given permits before, or when a server was
  // forgotten.
  TimePoint empty_at;
  // A machine has few servers. The least recently used ones are forgotten.
  std::size_t max_servers = 64;
  std::map<std::uint32_t, PermitBucket> buckets;  // by server

  bool operator==(const PermitLedger&) const = default;
};

struct PermitDecision {
  bool granted = false;
  // If not granted: the time until a permit is available, at most 10 s.
  Duration wait{0};

  bool operator==(const PermitDecision&) const = default;
};

// Tells whether the bucket of the server holds a permit, without giving it.
PermitDecision CheckPermit(PermitLedger& ledger,
                           std::uint32_t server,
                           const PermitRate& rate,
                           TimePoint now);

// Gives the permit that CheckPermit found just before.
void TakePermit(PermitLedger& ledger, std::uint32_t server);

// Gives a permit if the bucket of the server holds one.
PermitDecision GivePermit(PermitLedger& ledger,
                          std::uint32_t server,
                          const PermitRate& rate,
                          TimePoint now);

}  // namespace toucanhollow

#endif  // TRAFFIC_PERMIT_LEDGER_H_
