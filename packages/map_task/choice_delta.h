// The increase of an engine's choice counters between two readings.
#ifndef MAP_TASK_CHOICE_DELTA_H_
#define MAP_TASK_CHOICE_DELTA_H_

#include <optional>

#include "map_task/rank_message.h"

namespace toucanhollow {

// True if both tables have the same number of sets, and of experts in each set.
bool HasSameShape(const ChoiceTable& left, const ChoiceTable& right);

// Returns the increase of each counter. Returns nothing if the shapes differ,
// as they do for the first reading, or if a counter fell, as it does when a
// rank restarts.
std::optional<ChoiceTable> ComputeChoiceDelta(const ChoiceTable& before,
                                              const ChoiceTable& after);

}  // namespace toucanhollow

#endif  // MAP_TASK_CHOICE_DELTA_H_
