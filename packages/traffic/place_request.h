// Chooses the server of a request among those of its service.
//
// All ranks of a model group execute each pass together, and the slowest rank
// determines its duration. Requests therefore go to a server with little load,
// counted over all entry hosts. The counts of other hosts are about 100 ms old:
// if each host chose the least loaded server, all would choose the same one at
// once. Each host therefore chooses the least loaded of a few randomly sampled
// servers.
#ifndef TRAFFIC_PLACE_REQUEST_H_
#define TRAFFIC_PLACE_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace toucanhollow {

// Outcomes of this host's recent requests to a server.
struct ServerHealth {
  // Exponentially weighted fraction of requests that failed, 0 to 1.
  double failure_rate = 0;
  int consecutive_failures = 0;
  // The server is not chosen before this time unless no other is available.
  TimePoint avoid_until;

  bool operator==(const ServerHealth&) const = default;
};

ServerHealth RecordSuccess(const ServerHealth& health);
// Records a failed connection, a broken answer or an error of the server.
ServerHealth RecordFailure(const ServerHealth& health, TimePoint now);
// Records that another server names this one as the cause of its refusal. That
// has it avoided for a short time, and counts as no failure of its own.
ServerHealth RecordReportedFault(const ServerHealth& health, TimePoint now);

struct ServerCandidate {
  std::string id;
  // Requests of all hosts that are running or waiting at the server.
  int outstanding = 0;
  // Prompt tokens of the requests that have not begun to answer.
  double pending_prompt_tokens = 0;
  int limit = 1;       // concurrent requests that it may be sent
  bool local = false;  // in this host's data centre
  // The server slows down its model group; it is chosen only if no other is
  // available.
  bool slow = false;
  ServerHealth health;

  bool operator==(const ServerCandidate&) const = default;
};

inline constexpr std::size_t kSampledServers = 4;

struct PlacementRequest {
  // Number of pending prompt tokens that count as one running request.
  double tokens_per_request = 1000;
  // Seed of the sampling; differs between hosts and between requests.
  std::uint64_t seed = 0;
  // Number of servers to sample.
  std::size_t sample_size = kSampledServers;
};

// The index of the chosen candidate, or nothing if all are at their limit.
std::optional<std::size_t> PlaceRequest(
    const std::vector<ServerCandidate>& candidates,
    const PlacementRequest& request,
    TimePoint now);

}  // namespace toucanhollow

#endif  // TRAFFIC_PLACE_REQUEST_H_
