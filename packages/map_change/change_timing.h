// How large a map change may be and how far ahead a pass is held, from how fast
// the group and the coordinator are.
#ifndef MAP_CHANGE_CHANGE_TIMING_H_
#define MAP_CHANGE_CHANGE_TIMING_H_

#include "base/time.h"
#include "expert_map/expert_map.h"

namespace toucanhollow {

// Loading for one change takes this long at most. Demand shifts within seconds:
// an early small change is worth more than a late large one.
inline constexpr Duration kLoadBudget = Milliseconds(230);

// How long a group's passes take, from reports of its ranks.
struct PassClock {
  std::int64_t epoch = -1;
  StepNumber step = 0;
  // When `step` was reported first.
  TimePoint reported_at;
  // Of the last passes; 0 until two steps were reported.
  Duration pass{0};

  bool operator==(const PassClock&) const = default;
};

PassClock TakeStep(const PassClock& clock,
                   std::int64_t epoch,
                   StepNumber step,
                   TimePoint now);

// Experts that one change may add to a rank; at least 1. An unknown load time
// of 0 gives 1.
int LoadsPerChange(Duration expert_load_time);

inline constexpr StepNumber kMinHoldLead = 2;
inline constexpr StepNumber kMaxHoldLead = 7;

// Passes between the present one and the one to hold. The group must not reach
// the held pass before all ranks are armed, or it stands; each pass more delays
// the change. `pass` is how long a pass takes, 0 if unknown; `exchange` how
// long the coordinator needs to ask all ranks.
StepNumber HoldLead(Duration pass, Duration exchange);

}  // namespace toucanhollow

#endif  // MAP_CHANGE_CHANGE_TIMING_H_
