#include "map_task/choose_probe.h"

#include <iterator>
#include <map>

namespace toucanhollow {

std::optional<std::string> ChooseProbe(const GroupRegistry& registry,
                                       const std::vector<std::string>& servers,
                                       std::size_t turn) {
  std::map<GroupKey, std::vector<std::string>> by_group;
  for (const std::string& server : servers) {
    const auto group_rank = registry.rank_by_server.find(server);
    if (group_rank != registry.rank_by_server.end()) {
      by_group[group_rank->second.group].push_back(server);
    }
  }
  if (by_group.empty()) {
    return std::nullopt;
  }
  const std::size_t groups = by_group.size();
  const auto chosen =
      std::next(by_group.begin(), static_cast<std::ptrdiff_t>(turn % groups));
  const std::vector<std::string>& ranks = chosen->second;
  return ranks[turn / groups % ranks.size()];
}

}  // namespace toucanhollow
