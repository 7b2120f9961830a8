// Which rank an entry host asks next about its model group.
#ifndef MAP_TASK_CHOOSE_PROBE_H_
#define MAP_TASK_CHOOSE_PROBE_H_

#include <optional>
#include <string>
#include <vector>

#include "map_change/group_registry.h"

namespace toucanhollow {

// Goes through the groups by turns, since one rank reports for all of its
// group, and through the ranks of each, so that ranks which do not answer are
// passed over. Nothing if no server's group is known.
std::optional<std::string> ChooseProbe(const GroupRegistry& registry,
                                       const std::vector<std::string>& servers,
                                       std::size_t turn);

}  // namespace toucanhollow

#endif  // MAP_TASK_CHOOSE_PROBE_H_
