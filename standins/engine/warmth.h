// How many concurrent requests a stand-in engine bears as it warms up.
#ifndef STANDINS_ENGINE_WARMTH_H_
#define STANDINS_ENGINE_WARMTH_H_

#include <cstdint>

#include "base/time.h"

namespace toucanhollow {

struct WarmthOptions {
  std::int64_t cold_limit = 2;
  std::int64_t full_limit = 32;
  // Time with work in which the bearable number doubles.
  Duration doubling_time = Milliseconds(500);
  // Step time of a cold engine over that of a warm one.
  double cold_step_factor = 4.0;
};

// `busy` is the time with work since the engine became cold.
std::int64_t BearableRequests(const WarmthOptions& options, Duration busy);

// Falls from cold_step_factor to 1 as the engine warms up.
double StepFactor(const WarmthOptions& options, Duration busy);

// The `busy` of a fully warm engine.
Duration WarmBusyTime(const WarmthOptions& options);

}  // namespace toucanhollow

#endif  // STANDINS_ENGINE_WARMTH_H_
