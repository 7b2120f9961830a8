// RecentPrompts: the parts of the prompts that came to one host lately. They
// tell whether suspect parts always come together, so that no request tests
// them apart.
#ifndef QUARANTINE_RECENT_PROMPTS_H_
#define QUARANTINE_RECENT_PROMPTS_H_

#include <cstddef>
#include <deque>
#include <vector>

#include "base/time.h"
#include "quarantine/prompt_part.h"
#include "quarantine/quarantine_state.h"

namespace toucanhollow {

inline constexpr std::size_t kMaxRecentPrompts = 128;
inline constexpr Duration kRecentTime = Seconds(5);

struct RecentPrompt {
  std::vector<PartId> parts;  // ordered
  TimePoint arrived_at;

  bool operator==(const RecentPrompt&) const = default;
};

struct RecentPrompts {
  std::deque<RecentPrompt> prompts;  // the oldest first

  bool operator==(const RecentPrompts&) const = default;
};

void RecordPrompt(RecentPrompts& recent,
                  const std::vector<PartId>& parts,
                  TimePoint now);

// True if a recent prompt has some of these suspect parts and no others, so
// that requests like it test these parts without the rest.
bool AreTestedApart(const RecentPrompts& recent,
                    const QuarantineState& state,
                    const std::vector<PartId>& suspects,
                    TimePoint now);

}  // namespace toucanhollow

#endif  // QUARANTINE_RECENT_PROMPTS_H_
