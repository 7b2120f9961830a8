// Places experts from their loads alone, without regard to the current map. The
// baselines of the placement benchmark move to this map.
#ifndef EXPERT_MAP_FULL_PLACEMENT_H_
#define EXPERT_MAP_FULL_PLACEMENT_H_

#include <span>

#include "expert_map/expert_map.h"

namespace toucanhollow {

// Gives each replica beyond the first of an expert to the expert with the
// highest load per replica, then places the replicas greedily: the one with the
// highest load first, on the least loaded rank (longest processing time first).
ExpertMap PlaceFromScratch(std::span<const double> tokens_per_step,
                           int ranks,
                           int slots_per_rank);

// Renumbers the ranks of `target` greedily, so that ranks keep many of the
// experts that they hold in `current` and few experts must be loaded.
ExpertMap MatchRanks(const ExpertMap& current, ExpertMap target);

}  // namespace toucanhollow

#endif  // EXPERT_MAP_FULL_PLACEMENT_H_
