// What an entry host believes of the servers that the platform lists.
#ifndef TRAFFIC_SERVER_BELIEF_H_
#define TRAFFIC_SERVER_BELIEF_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/address.h"
#include "base/log_entry.h"
#include "base/name.h"
#include "base/time.h"

namespace toucanhollow {

// One entry of the platform's list.
struct ListedServer {
  std::string id;
  // Start of the server's process, in Unix ms. An id that comes back with
  // another start time is a new incarnation.
  std::int64_t born_ms = 0;
  ServiceName service;
  Address address;
  DataCentreName data_centre;
  int slots = 0;
  bool draining = false;
  Duration cold_for{0};

  bool operator==(const ListedServer&) const = default;
};

struct ServerBelief {
  ListedServer listed;
  // When the entry was removed from the list, if it is missing.
  std::optional<TimePoint> missing_since;
  // Until then a missing server is still used: entries lapse while the store
  // is away and are back soon after its return.
  TimePoint keep_until;
  // The record that the entry was read from.
  LogOffset offset = 0;
  // A later entry has the same address: this server has ended, though its entry
  // has not lapsed yet.
  bool replaced = false;

  bool operator==(const ServerBelief&) const = default;
};

// When the store's answers can be taken as current.
struct StoreContact {
  // The last answered read; nothing before the first.
  std::optional<TimePoint> answered_at;
  // The last failed or refused read.
  std::optional<TimePoint> failed_at;

  bool operator==(const StoreContact&) const = default;
};

// After the store's return, an entry that lapsed meanwhile is back within
// about two seconds if the server lives; the margin covers a late heartbeat.
inline constexpr Duration kLapseReturn = Milliseconds(2500);

// Time a removal is remembered, so that a returning entry keeps its history.
inline constexpr Duration kForgetMissing = Seconds(30);

using ServerBeliefs = std::map<std::string, ServerBelief>;

// Takes a new entry; `listed` is empty if the entry was removed or names no
// server any more. `offset` is that of its record.
void UpdateServer(ServerBeliefs& servers,
                  const std::string& id,
                  const std::optional<ListedServer>& listed,
                  LogOffset offset,
                  const StoreContact& contact,
                  TimePoint now);

// True if new requests may go to the server.
bool IsUsable(const ServerBelief& server,
              const std::set<DataCentreName>& evacuated,
              TimePoint now);

}  // namespace toucanhollow

#endif  // TRAFFIC_SERVER_BELIEF_H_
