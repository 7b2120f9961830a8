#include "map_task/choose_probe.h"

#include <iterator>
#include <map>

namespace toucanhollow {

std::optional<std::string> ChooseProbe(const GroupBoard& board,
                                       const std::vector<std::string>& servers,
                                       std::size_t turn) {
  std::map<GroupKey, std::vector<std::string>> by_group;
  for (const std::string& server : servers) {
    const auto place = board.places.find(server);
    if (place != board.places.end()) {
      by_group[place->second.group].push_back(server);
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
