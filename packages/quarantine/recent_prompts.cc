#include "quarantine/recent_prompts.h"

#include <algorithm>

namespace toucanhollow {

void RecordPrompt(RecentPrompts& recent,
                  const std::vector<PartId>& parts,
                  TimePoint now) {
  recent.prompts.push_back({parts, now});
  while (recent.prompts.size() > kMaxRecentPrompts ||
         now - recent.prompts.front().arrived_at > kRecentTime) {
    recent.prompts.pop_front();
  }
}

bool AreTestedApart(const RecentPrompts& recent,
                    const QuarantineState& state,
                    const std::vector<PartId>& suspects,
                    TimePoint now) {
  return std::ranges::any_of(recent.prompts, [&](const RecentPrompt& prompt) {
    std::size_t tested = 0;
    for (const PartId part : prompt.parts) {
      if (!state.suspects.contains(part)) {
        continue;
      }
      if (!std::ranges::binary_search(suspects, part)) {
        return false;
      }
      ++tested;
    }
    return tested > 0 && tested < suspects.size() &&
           now - prompt.arrived_at <= kRecentTime;
  });
}

}  // namespace toucanhollow
