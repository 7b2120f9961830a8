#include "traffic/server_belief.h"

#include <algorithm>

namespace toucanhollow {
namespace {

// Of the entries with one address, only the one written last names a server
// that can be alive: a server writes nothing after its end.
void MarkReplaced(ServerBeliefs& servers, const Address& address) {
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

void UpdateServer(ServerBeliefs& servers,
                  const std::string& id,
                  const std::optional<ListedServer>& listed,
                  LogOffset offset,
                  const StoreContact& contact,
                  TimePoint now) {
  std::erase_if(servers, [now](const auto& entry) {
    return entry.second.missing_since &&
           now - *entry.second.missing_since > kForgetMissing;
  });
  if (listed) {
    servers.insert_or_assign(id, ServerBelief{*listed, {}, {}, offset});
    MarkReplaced(servers, listed->address);
    return;
  }
  const auto found = servers.find(id);
  if (found == servers.end() || found->second.missing_since) {
    return;
  }
  ServerBelief& server = found->second;
  server.missing_since = now;
  // A removal that is read while the store is well is real.
  const bool store_was_away =
      contact.failed_at && now < *contact.failed_at + kLapseReturn;
  server.keep_until = store_was_away ? *contact.failed_at + kLapseReturn : now;
}

bool IsUsable(const ServerBelief& server,
              const std::set<DataCentreName>& evacuated,
              TimePoint now) {
  if (server.listed.draining || server.replaced ||
      evacuated.contains(server.listed.data_centre)) {
    return false;
  }
  return !server.missing_since || now < server.keep_until;
}

}  // namespace toucanhollow
