#include "standins/engine/warmth.h"

#include <algorithm>
#include <cmath>

namespace toucanhollow {

std::int64_t BearableRequests(const WarmthOptions& options, Duration busy) {
  const double doublings = static_cast<double>(busy.count()) /
                           static_cast<double>(options.doubling_time.count());
  const double bearable = static_cast<double>(options.cold_limit) *
                          std::exp2(std::min(doublings, 30.0));
  return static_cast<std::int64_t>(
      std::min(bearable, static_cast<double>(options.full_limit)));
}

double StepFactor(const WarmthOptions& options, Duration busy) {
  if (options.full_limit <= options.cold_limit) {
    return 1.0;
  }
  const auto missing =
      static_cast<double>(options.full_limit - BearableRequests(options, busy));
  const auto range =
      static_cast<double>(options.full_limit - options.cold_limit);
  return 1.0 + (options.cold_step_factor - 1.0) * missing / range;
}

Duration WarmBusyTime(const WarmthOptions& options) {
  const double ratio = static_cast<double>(options.full_limit) /
                       static_cast<double>(options.cold_limit);
  return options.doubling_time *
         static_cast<std::int64_t>(std::ceil(std::log2(ratio)) + 1);
}

}  // namespace toucanhollow
