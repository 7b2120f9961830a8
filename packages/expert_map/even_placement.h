// A better map for engines that split an expert's tokens evenly among its
// holders and can load only a few experts ahead of a change.
#ifndef EXPERT_MAP_EVEN_PLACEMENT_H_
#define EXPERT_MAP_EVEN_PLACEMENT_H_

#include <span>

#include "expert_map/expert_map.h"

namespace toucanhollow {

struct EvenPlacementLimits {
  int places = 1;  // experts that one rank can hold
  int spare = 1;   // experts that one change may add to a rank

  bool operator==(const EvenPlacementLimits&) const = default;
};

// Load of the most loaded rank against the mean; 1 is perfect. 1 if there is
// no load.
double LoadRatio(const ExpertMap& map, std::span<const double> expert_load);

// Lowers the load of the most loaded ranks by copies and exchanges of experts.
// Every expert stays on at least one rank. Returns the current map if nothing
// helps.
ExpertMap PlanEvenMap(const ExpertMap& current,
                      std::span<const double> expert_load,
                      const EvenPlacementLimits& limits);

}  // namespace toucanhollow

#endif  // EXPERT_MAP_EVEN_PLACEMENT_H_
