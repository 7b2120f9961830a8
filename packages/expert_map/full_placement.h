// A new map from nothing but the loads: the optimum that the baselines of the
// placement measurement move to, with no regard to the present map.
#ifndef EXPERT_MAP_FULL_PLACEMENT_H_
#define EXPERT_MAP_FULL_PLACEMENT_H_

#include <span>

#include "expert_map/expert_map.h"

namespace toucanhollow {

// Gives each further replica to the expert with the highest load per replica,
// then places replicas by longest processing time first.
ExpertMap PlaceAnew(std::span<const double> tokens_per_step,
                    int ranks,
                    int slots_per_rank);

// Renumbers the ranks of `target` so that ranks keep many of their experts.
ExpertMap MatchRanks(const ExpertMap& current, ExpertMap target);

}  // namespace toucanhollow

#endif  // EXPERT_MAP_FULL_PLACEMENT_H_
