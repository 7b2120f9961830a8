// Limits for a map change, derived from the speed of the group and of its
// coordinator: how many experts it may load, and how far ahead it holds a pass.
#ifndef MAP_CHANGE_CHANGE_TIMING_H_
#define MAP_CHANGE_CHANGE_TIMING_H_

#include "base/time.h"
#include "expert_map/expert_map.h"

namespace toucanhollow {

// Upper bound on the time that one change spends loading experts. Demand shifts
// within seconds, so an early small change is worth more than a late large one.
inline constexpr Duration kLoadBudget = Milliseconds(230);

// The duration of a group's passes, derived from the reports of its ranks.
struct PassTiming {
  std::int64_t epoch = -1;
  StepNumber step = 0;
  // When `step` was first reported.
  TimePoint reported_at;
  // Mean duration of the passes between the last two reported steps; 0 until
  // two steps have been reported in one epoch.
  Duration pass_duration{0};

  bool operator==(const PassTiming&) const = default;
};

// Returns the timing after a report of `step`. Passes that span a change of the
// epoch are not measured.
PassTiming UpdatePassTiming(const PassTiming& timing,
                            std::int64_t epoch,
                            StepNumber step,
                            TimePoint now);

// Returns how many experts one change may add to a rank, at least 1. An unknown
// load time, given as 0, yields 1.
int MaxLoadsPerChange(Duration expert_load_time);

inline constexpr StepNumber kMinHoldLead = 2;
inline constexpr StepNumber kMaxHoldLead = 7;

// Returns the number of passes between the current one and the one to hold. The
// group stalls if it reaches the held pass before all ranks are armed; each
// additional pass delays the change. `pass_duration` is 0 if unknown;
// `round_trip` is how long the coordinator needs to exchange messages with all
// ranks.
StepNumber ComputeHoldLead(Duration pass_duration, Duration round_trip);

}  // namespace toucanhollow

#endif  // MAP_CHANGE_CHANGE_TIMING_H_
