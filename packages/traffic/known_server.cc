#include "traffic/known_server.h"

#include <algorithm>
#include <utility>

namespace toucanhollow {
namespace {

// True if the entry was written later. Positions of two eras do not tell: the
// server that started later wrote later.
bool IsWrittenLater(const KnownServer& entry, const KnownServer& other) {
  if (entry.position.era != other.position.era) {
    return entry.listed.start_time_ms > other.listed.start_time_ms;
  }
  return entry.position > other.position;
}

// Of the entries with the same address, only the one written last can belong to
// a running server: a server writes nothing after it has stopped.
void MarkReplaced(KnownServers& servers, const Address& address) {
  const auto is_replaced = [&](const KnownServer& server) {
    return std::ranges::any_of(servers, [&](const auto& entry) {
      const KnownServer& other = entry.second;
      return other.listed.address == address && !other.missing_since &&
             IsWrittenLater(other, server);
    });
  };
  for (auto& [id, server] : servers) {
    if (server.listed.address == address) {
      server.replaced = is_replaced(server);
    }
  }
}

// True if `listed` is the process that was known to drain.
bool IsStillDraining(const KnownServer& known, const ListedServer& listed) {
  // Without a start time, the process may be a later one if the entry was gone.
  const bool is_same_process =
      known.listed.start_time_ms == listed.start_time_ms &&
      (listed.start_time_ms != 0 || !known.missing_since);
  return known.listed.draining && is_same_process;
}

}  // namespace

void UpdateServer(KnownServers& servers,
                  const std::string& id,
                  const std::optional<ListedServer>& listed,
                  StorePosition position,
                  TimePoint removal_time,
                  TimePoint now) {
  std::erase_if(servers, [now](const auto& entry) {
    return entry.second.missing_since &&
           now - *entry.second.missing_since > kMissingServerRetention;
  });
  const auto found = servers.find(id);
  if (listed) {
    KnownServer server{*listed, {}, {}, position};
    if (found != servers.end()) {
      server.listed.draining =
          listed->draining || IsStillDraining(found->second, *listed);
    }
    servers.insert_or_assign(id, std::move(server));
    MarkReplaced(servers, listed->address);
    return;
  }
  if (found == servers.end() || found->second.missing_since) {
    return;
  }
  KnownServer& server = found->second;
  server.missing_since = now;
  server.usable_until = removal_time;
}

bool IsUsable(const KnownServer& server,
              const std::set<DataCentreName>& evacuated,
              TimePoint now) {
  if (server.listed.draining || server.replaced ||
      evacuated.contains(server.listed.data_centre)) {
    return false;
  }
  return !server.missing_since || now < server.usable_until;
}

}  // namespace toucanhollow
