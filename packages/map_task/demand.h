// Demand: how often each expert of a group is chosen, estimated from the
// counters of its ranks.
#ifndef MAP_TASK_DEMAND_H_
#define MAP_TASK_DEMAND_H_

#include <vector>

#include "base/time.h"
#include "map_task/rank_message.h"

namespace toucanhollow {

struct Demand {
  // Exponentially decayed sum of choices, by set and expert.
  ChoiceTable chosen;
  // When choices were last counted. The estimate of an idle group does not
  // decay.
  TimePoint updated_at;
};

// In the users' traffic scenarios, demand shifts within seconds, so older
// choices say little about the next ones.
inline constexpr Duration kDemandHalfLife = Milliseconds(250);

// Adds the choices that some of the ranks counted. Requests are distributed
// over the ranks without regard to their experts, so the choices of each rank
// are a sample of all.
void AddChoices(Demand& demand,
                const std::vector<ChoiceTable>& choices,
                TimePoint now);

// True if the map holds every expert of the table, contains only experts of the
// table, and has the same number of ranks in each set. Both come from engines,
// so neither can be assumed to be valid.
bool IsValidMapFor(const GroupMap& map, const ChoiceTable& chosen);

// Returns the decayed number of choices that the estimate is based on.
double TotalDemand(const Demand& demand);

}  // namespace toucanhollow

#endif  // MAP_TASK_DEMAND_H_
