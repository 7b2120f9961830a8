#include "traffic/known_server.h"

#include <algorithm>

namespace toucanhollow {
namespace {

// Of the entries with the same address, only the one written last can belong to
// a running server: a server writes nothing after it has stopped.
void MarkReplaced(KnownServers& servers, const Address& address) {
  LogOffset newest = 0;
  for (const auto& [id, server] : servers) {
    if (server.listed.address == address && !server.missing_since) {
      newest = std::max(newest, server.offset);
    }
  }
  for (auto& [id, server] : servers) {
    if (server.listed.address == address) {
      server.replaced = server.offset < newest;
    }
  }
}

}  // namespace

void UpdateServer(KnownServers& servers,
                  const std::string& id,
                  const std::optional<ListedServer>& listed,
                  LogOffset offset,
                  TimePoint removal_time,
                  TimePoint now) {
  std::erase_if(servers, [now](const auto& entry) {
    return entry.second.missing_since &&
           now - *entry.second.missing_since > kMissingServerRetention;
  });
  if (listed) {
    servers.insert_or_assign(id, KnownServer{*listed, {}, {}, offset});
    MarkReplaced(servers, listed->address);
    return;
  }
  const auto found = servers.find(id);
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
