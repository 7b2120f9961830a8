// Demand: how much each expert of a group is chosen, from the counters of all
// ranks.
#ifndef MAP_TASK_DEMAND_H_
#define MAP_TASK_DEMAND_H_

#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "map_task/engine_codec.h"

namespace toucanhollow {

struct Demand {
  // The last counters of each rank, by server.
  std::map<std::string, RankCounts> last;
  // Faded sum of choices, by set and expert.
  std::vector<std::vector<double>> chosen;
  // When the last choices were counted; an idle group keeps its estimate.
  TimePoint updated_at;
};

// Demand changes within seconds on the days that the platform's users play; an
// older choice says little of the next one.
inline constexpr Duration kDemandHalfLife = Milliseconds(250);

// Adds what the ranks counted since their last counters. A rank that started
// anew counts from its new start.
void AddCounts(Demand& demand,
               const std::map<std::string, RankCounts>& counts,
               TimePoint now);

// Choices that the estimate rests on.
double DemandWeight(const Demand& demand);

}  // namespace toucanhollow

#endif  // MAP_TASK_DEMAND_H_
