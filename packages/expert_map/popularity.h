// Estimate of how popular each expert is: an exponentially weighted mean of the
// tokens that it was given per step.
#ifndef EXPERT_MAP_POPULARITY_H_
#define EXPERT_MAP_POPULARITY_H_

#include <span>
#include <vector>

#include "base/time.h"

namespace toucanhollow {

// With 60 s, the estimate followed a shift so late that the skew after it set
// the p95 at 64 ranks; with 15 s, popularity that flips every 5 s moved weights
// back and forth (docs/measurements-placement.md).
constexpr Duration kPopularityHalfLife = Seconds(30);

struct Popularity {
  Duration half_life = kPopularityHalfLife;
  // Tokens per step for each expert; empty before the first sample.
  std::vector<double> tokens_per_step;
  TimePoint updated;

  bool operator==(const Popularity&) const = default;
};

// Adds a sample of the mean tokens per step since the last one.
Popularity AddPopularitySample(Popularity popularity,
                               std::span<const double> tokens_per_step,
                               TimePoint now);

}  // namespace toucanhollow

#endif  // EXPERT_MAP_POPULARITY_H_
