#include "traffic/misdirection.h"

namespace toucanhollow {

bool IsMisdirected(const std::optional<Misdirection>& misdirection,
                   const KnownServer& server,
                   TimePoint now) {
  return misdirection && server.position <= misdirection->entry_position &&
         now - misdirection->answered_at < kMisdirectionTime;
}

bool IsFaultElsewhere(const KnownServers& servers,
                      const ListedServer& refusing,
                      const std::string& at_fault) {
  const auto found = servers.find(at_fault);
  return found != servers.end() && at_fault != refusing.id &&
         found->second.listed.address != refusing.address;
}

}  // namespace toucanhollow
