#include "map_change/change_timing.h"

#include <algorithm>

namespace toucanhollow {
namespace {

// The hold order, the reading that confirms it, and the arm orders.
constexpr int kRoundTripsBeforeSwitch = 3;

}  // namespace

PassTiming UpdatePassTiming(const PassTiming& timing,
                            std::int64_t epoch,
                            StepNumber step,
                            TimePoint now) {
  if (epoch != timing.epoch) {
    return {epoch, step, now, timing.pass_duration};
  }
  const StepNumber passes = step - timing.step;
  if (passes <= 0) {
    return timing;
  }
  return {epoch, step, now, (now - timing.reported_at) / passes};
}

int MaxLoadsPerChange(Duration expert_load_time) {
  if (expert_load_time <= Duration(0)) {
    return 1;
  }
  return std::max(1, static_cast<int>(kLoadBudget / expert_load_time));
}

StepNumber ComputeHoldLead(Duration pass_duration, Duration round_trip) {
  if (pass_duration <= Duration(0)) {
    return kMaxHoldLead;
  }
  // The current pass may end immediately, so it does not count.
  const Duration needed = round_trip * kRoundTripsBeforeSwitch;
  const StepNumber passes =
      (needed + pass_duration - Duration(1)) / pass_duration;
  return std::clamp(1 + passes, kMinHoldLead, kMaxHoldLead);
}

}  // namespace toucanhollow
