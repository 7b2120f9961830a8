// Chooses the rank that an entry host asks next about its model group.
#ifndef MAP_TASK_CHOOSE_PROBE_H_
#define MAP_TASK_CHOOSE_PROBE_H_

#include <optional>
#include <string>
#include <vector>

#include "map_change/group_registry.h"

namespace toucanhollow {

// Alternates between the groups, since one rank reports for its whole group,
// and between the ranks of each group, so that a rank that does not answer is
// not asked repeatedly. Returns nothing if the group of no server is known.
std::optional<std::string> ChooseProbe(const GroupRegistry& registry,
                                       const std::vector<std::string>& servers,
                                       std::size_t turn);

}  // namespace toucanhollow

#endif  // MAP_TASK_CHOOSE_PROBE_H_
