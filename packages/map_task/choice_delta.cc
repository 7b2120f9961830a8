#include "map_task/choice_delta.h"

namespace toucanhollow {

bool HasSameShape(const ChoiceTable& left, const ChoiceTable& right) {
  if (left.size() != right.size()) {
    return false;
  }
  for (std::size_t set = 0; set < left.size(); ++set) {
    if (left[set].size() != right[set].size()) {
      return false;
    }
  }
  return true;
}

std::optional<ChoiceTable> ComputeChoiceDelta(const ChoiceTable& before,
                                              const ChoiceTable& after) {
  if (!HasSameShape(before, after)) {
    return std::nullopt;
  }
  ChoiceTable delta = after;
  for (std::size_t set = 0; set < after.size(); ++set) {
    for (std::size_t expert = 0; expert < after[set].size(); ++expert) {
      if (after[set][expert] < before[set][expert]) {
        return std::nullopt;
      }
      delta[set][expert] -= before[set][expert];
    }
  }
  return delta;
}

}  // namespace toucanhollow
