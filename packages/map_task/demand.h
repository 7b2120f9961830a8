// Demand: how much each expert of a group is chosen, from what its ranks count.
#ifndef MAP_TASK_DEMAND_H_
#define MAP_TASK_DEMAND_H_

#include <vector>

#include "base/time.h"
#include "map_task/rank_message.h"

namespace toucanhollow {

struct Demand {
  // Faded sum of choices, by set and expert.
  ChoiceTable chosen;
  // When the last choices were counted; an idle group keeps its estimate.
  TimePoint updated_at;
};

// Demand changes within seconds on the days that the platform's users play; an
// older choice says little of the next one.
inline constexpr Duration kDemandHalfLife = Milliseconds(250);

// Adds what some of the ranks counted. Requests are spread over the ranks
// without regard to their experts, so each rank's choices are a sample.
void AddChoices(Demand& demand,
                const std::vector<ChoiceTable>& choices,
                TimePoint now);

// True if the map holds every expert of the table, all of them in range, and
// has the same ranks in each set. Engines report both, so that neither can be
// taken for granted.
bool IsValidMapFor(const GroupMap& map, const ChoiceTable& chosen);

// Choices that the estimate rests on.
double TotalDemand(const Demand& demand);

}  // namespace toucanhollow

#endif  // MAP_TASK_DEMAND_H_
