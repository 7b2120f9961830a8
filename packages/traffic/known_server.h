// The servers that the platform lists, as known to an entry host.
#ifndef TRAFFIC_KNOWN_SERVER_H_
#define TRAFFIC_KNOWN_SERVER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/address.h"
#include "base/name.h"
#include "base/store_position.h"
#include "base/time.h"

namespace toucanhollow {

// One entry of the platform's list of servers.
struct ListedServer {
  std::string id;
  // Start of the server's process, in Unix ms. An id that is listed again with
  // another start time is a new incarnation.
  std::int64_t start_time_ms = 0;
  ServiceName service;
  Address address;
  DataCentreName data_centre;
  int slots = 0;
  bool draining = false;
  Duration remaining_cold_time{0};

  bool operator==(const ListedServer&) const = default;
};

struct KnownServer {
  ListedServer listed;
  // When the entry was removed from the list, if it is missing.
  std::optional<TimePoint> missing_since;
  // A missing server is still used until this time: entries expire while the
  // store is unavailable and reappear soon after it recovers.
  TimePoint usable_until;
  // Position of the record that the entry was read from.
  StorePosition position;
  // A later entry has the same address: this server has stopped, although its
  // entry has not expired yet.
  bool replaced = false;

  bool operator==(const KnownServer&) const = default;
};

// A removed entry is retained for this time, so that a server that is listed
// again keeps its history.
inline constexpr Duration kMissingServerRetention = Seconds(30);

using KnownServers = std::map<std::string, KnownServer>;

// Applies a record of the list. `listed` is empty if the entry was removed or
// no longer describes a server; the server is then used until `removal_time`
// (see FindRemovalTime). `position` is that of the record. A process of a
// server that has drained once drains until its end, whatever an older copy of
// the list says.
void UpdateServer(KnownServers& servers,
                  const std::string& id,
                  const std::optional<ListedServer>& listed,
                  StorePosition position,
                  TimePoint removal_time,
                  TimePoint now);

// True if new requests may be sent to the server.
bool IsUsable(const KnownServer& server,
              const std::set<DataCentreName>& evacuated,
              TimePoint now);

}  // namespace toucanhollow

#endif  // TRAFFIC_KNOWN_SERVER_H_
