// Simulates entry hosts that send requests to servers which may be cold or name
// a limit, and compares ways to keep these bounds over all hosts.
#ifndef COLD_START_BENCH_SIMULATE_H_
#define COLD_START_BENCH_SIMULATE_H_

#include <cstdint>
#include <string_view>

namespace toucanhollow {

enum class ColdPolicy {
  // Each host sends its part of the bound, at least one request in a second.
  kShareWithMinimum,
  // Each host sends its part of the bound, however rarely that is.
  kShare,
  // Some hosts, chosen by a hash for each server, send one request in a second.
  kSubset,
  // Hosts send one after the other, in slots of a second.
  kTurns,
  // Hosts send without limit to servers that they know to be warm.
  kWarmKnown,
  // The agent of a server gives permits.
  kPermits,
};

enum class FleetEvent {
  kNone,
  kPowerLoss,        // all hosts and agents restart together
  kSplit,            // each half of the hosts hears only itself
  kDifferingViews,   // each host hears a random part of the others
  kLateConnections,  // connections hang and are established together
};

std::string_view ColdPolicyName(ColdPolicy policy);
std::string_view FleetEventName(FleetEvent event);

// The most requests that reach one server in a second while all hosts have more
// for it than it can take. The server turns cold in the middle.
int SimulateFlood(ColdPolicy policy,
                  FleetEvent event,
                  int hosts,
                  std::uint64_t seed);

// The most requests in 4 s that a server with a limit of 2 requests a second
// gets from hosts that have been told of it for half a second, while all hosts
// have more for it. The event happens 3 s after the server first named the
// limit.
int SimulateLimit(ColdPolicy policy,
                  FleetEvent event,
                  int hosts,
                  std::uint64_t seed);

struct SoundLoad {
  int hosts = 34;
  int servers = 72;
  double requests_per_s = 300;  // of all hosts
};

struct SoundResult {
  // Parts of the requests.
  double sent_at_once = 0;  // within 10 ms
  double refused = 0;       // found no server within 200 ms
  double wait_p99_ms = 0;   // of those that were sent
};

// The requests of a fleet in which nothing fails and all servers are warm.
SoundResult SimulateSound(ColdPolicy policy,
                          const SoundLoad& load,
                          std::uint64_t seed);

}  // namespace toucanhollow

#endif  // COLD_START_BENCH_SIMULATE_H_
