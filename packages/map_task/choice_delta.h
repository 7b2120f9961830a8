// What an engine's counters grew by between two readings.
#ifndef MAP_TASK_CHOICE_DELTA_H_
#define MAP_TASK_CHOICE_DELTA_H_

#include <optional>

#include "map_task/rank_message.h"

namespace toucanhollow {

bool HasSameShape(const ChoiceTable& left, const ChoiceTable& right);

// Nothing after the first reading, and nothing if a counter fell, as it does
// when a rank starts anew.
std::optional<ChoiceTable> ComputeChoiceDelta(const ChoiceTable& before,
                                              const ChoiceTable& after);

}  // namespace toucanhollow

#endif  // MAP_TASK_CHOICE_DELTA_H_
