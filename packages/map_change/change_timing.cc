#include "map_change/change_timing.h"

#include <algorithm>

namespace toucanhollow {
namespace {

// The hold, the reading that shows it, and arming.
constexpr int kExchangesBeforeSwitch = 3;

}  // namespace

PassClock TakeStep(const PassClock& clock,
                   std::int64_t epoch,
                   StepNumber step,
                   TimePoint now) {
  if (epoch != clock.epoch) {
    return {epoch, step, now, clock.pass};
  }
  const StepNumber passes = step - clock.step;
  if (passes <= 0) {
    return clock;
  }
  return {epoch, step, now, (now - clock.reported_at) / passes};
}

int LoadsPerChange(Duration expert_load_time) {
  if (expert_load_time <= Duration(0)) {
    return 1;
  }
  return std::max(1, static_cast<int>(kLoadBudget / expert_load_time));
}

StepNumber HoldLead(Duration pass, Duration exchange) {
  if (pass <= Duration(0)) {
    return kMaxHoldLead;
  }
  // The present pass may end at once.
  const Duration needed = exchange * kExchangesBeforeSwitch;
  const StepNumber passes = (needed + pass - Duration(1)) / pass;
  return std::clamp(1 + passes, kMinHoldLead, kMaxHoldLead);
}

}  // namespace toucanhollow
