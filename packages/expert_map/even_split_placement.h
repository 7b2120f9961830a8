// Plans expert maps for engines that split an expert's tokens evenly among its
// holders and load experts ahead of a change.
//
// In a forward pass, all ranks wait for the most loaded rank of each set of
// layers, one set after the other. The duration of a pass is therefore
// determined by the sum of these highest loads.
#ifndef EXPERT_MAP_EVEN_SPLIT_PLACEMENT_H_
#define EXPERT_MAP_EVEN_SPLIT_PLACEMENT_H_

#include <span>
#include <vector>

#include "expert_map/expert_map.h"

namespace toucanhollow {

struct EvenSplitPlacementLimits {
  int slots_per_rank = 1;      // experts of a set that one rank can hold
  int max_added_per_rank = 1;  // experts of a set that a change may add to one
  // Experts of all sets that one change may add to a rank. Ranks load experts
  // at the same time, so this limits how long a change takes.
  int max_loads_per_rank = 1;
  // A set is not changed if the load of its most loaded rank divided by the
  // mean load is at most this.
  double acceptable_imbalance_ratio = 1;

  bool operator==(const EvenSplitPlacementLimits&) const = default;
};

// One map for each set of layers.
using LayerSetMaps = std::vector<ExpertMap>;

// By rank, how many times as long as usual its work takes; 1 is normal. If
// empty, no rank is slow.
using RankSlowdowns = std::vector<double>;

// The time of the slowest rank divided by the time that a rank of normal speed
// needs for the mean load. 1 means perfect balance, and no load gives 1.
double LoadImbalanceRatio(const ExpertMap& map,
                          std::span<const double> expert_load,
                          const RankSlowdowns& slowdowns = {});

// Lowers the load of the most loaded ranks by copying, dropping and exchanging
// replicas, starting with the most imbalanced set. Every expert stays on at
// least one rank. The load of a slow rank is multiplied by its slowdown.
// `expert_load` is by set and expert.
LayerSetMaps PlanEvenSplitMaps(
    const LayerSetMaps& current,
    const std::vector<std::vector<double>>& expert_load,
    const EvenSplitPlacementLimits& limits,
    const RankSlowdowns& slowdowns = {});

}  // namespace toucanhollow

#endif  // EXPERT_MAP_EVEN_SPLIT_PLACEMENT_H_
