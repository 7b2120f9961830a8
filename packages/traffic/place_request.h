// Chooses the server of a request among those of its service.
//
// All ranks of a group execute each pass together, and the slowest one sets
// its length. So requests go to a server with little work, counted over all
// entry hosts. Counts of other hosts are some 100 ms old: if each host took the
// server with the least, all would take the same one at once. So each takes the
// best of a few drawn servers.
#ifndef TRAFFIC_PLACE_REQUEST_H_
#define TRAFFIC_PLACE_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace toucanhollow {

// How a server has treated this host lately.
struct ServerHealth {
  // Part of recent requests that failed, 0 to 1, fading.
  double failure_rate = 0;
  int failures_in_row = 0;
  // Not chosen before, unless all others are worse off.
  TimePoint avoid_until;

  bool operator==(const ServerHealth&) const = default;
};

ServerHealth RecordSuccess(const ServerHealth& health);
// A failed connection, a broken answer or an error of the server.
ServerHealth RecordFailure(const ServerHealth& health, TimePoint now);

struct ServerCandidate {
  std::string id;
  // Requests of all hosts that are running or waiting there.
  int outstanding = 0;
  // Prompt tokens of those that have not begun to answer.
  double unread_tokens = 0;
  int limit = 1;       // requests that it may be given at once
  bool local = false;  // in this host's data centre
  // The server holds up its model group; it is chosen last.
  bool slow = false;
  ServerHealth health;

  bool operator==(const ServerCandidate&) const = default;
};

inline constexpr std::size_t kDrawnServers = 4;

struct PlacementRequest {
  // Unread prompt tokens that weigh as much as one running request.
  double tokens_per_request = 1000;
  // Seed of the draw; differs from host to host and from request to request.
  std::uint64_t draw = 0;
  // Servers that are drawn.
  std::size_t choices = kDrawnServers;
};

// The index of the chosen candidate, or nothing if all are at their limit.
std::optional<std::size_t> PlaceRequest(
    const std::vector<ServerCandidate>& candidates,
    const PlacementRequest& request,
    TimePoint now);

}  // namespace toucanhollow

#endif  // TRAFFIC_PLACE_REQUEST_H_
