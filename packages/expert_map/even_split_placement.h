// Better maps for engines that split an expert's tokens evenly among its
// holders and load experts ahead of a change.
//
// A pass lasts as long as the most loaded rank of each set of layers, set by
// set, so what counts is the sum of those loads.
#ifndef EXPERT_MAP_EVEN_SPLIT_PLACEMENT_H_
#define EXPERT_MAP_EVEN_SPLIT_PLACEMENT_H_

#include <span>
#include <vector>

#include "expert_map/expert_map.h"

namespace toucanhollow {

struct EvenPlacementLimits {
  int places = 1;  // experts of a set that one rank can hold
  int spare = 1;   // experts of a set that one change may add to a rank
  // Experts of all sets that one change may add to a rank. Ranks load at the
  // same time, so this bounds how long a change takes.
  int loads_per_rank = 1;
  // A set whose most loaded rank has less than this many times the mean is left
  // as it is.
  double good_ratio = 1;

  bool operator==(const EvenPlacementLimits&) const = default;
};

// One map for each set of layers.
using SetMaps = std::vector<ExpertMap>;

// How many times as long as usual each rank's work takes. Empty: all are sound.
using RankPaces = std::vector<double>;

// Time of the slowest rank against that of a sound rank with the mean load; 1
// is perfect. 1 if there is no load.
double LoadRatio(const ExpertMap& map,
                 std::span<const double> expert_load,
                 const RankPaces& paces = {});

// Lowers the load of the most loaded ranks by copies and exchanges of experts,
// the most uneven set first. Every expert stays on at least one rank. A slow
// rank counts as loaded by as much more. The load is by set and expert.
SetMaps PlanEvenMaps(const SetMaps& current,
                     const std::vector<std::vector<double>>& expert_load,
                     const EvenPlacementLimits& limits,
                     const RankPaces& paces = {});

}  // namespace toucanhollow

#endif  // EXPERT_MAP_EVEN_SPLIT_PLACEMENT_H_
