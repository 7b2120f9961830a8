// Estimates how popular each expert is, as an exponentially weighted moving
// average of the tokens that it received per step.
#ifndef EXPERT_MAP_POPULARITY_H_
#define EXPERT_MAP_POPULARITY_H_

#include <span>
#include <vector>

#include "base/time.h"

namespace toucanhollow {

// With 60 s, the estimate followed a shift in popularity so late that the skew
// after the shift determined the 95th percentile at 64 ranks. With 15 s,
// popularity that alternated every 5 s moved weights back and forth. See
// docs/measurements-placement.md.
constexpr Duration kPopularityHalfLife = Seconds(30);

struct Popularity {
  Duration half_life = kPopularityHalfLife;
  // Tokens per step of each expert; empty before the first sample.
  std::vector<double> tokens_per_step;
  TimePoint updated;

  bool operator==(const Popularity&) const = default;
};

// Adds a sample: the mean tokens per step of each expert since the last sample.
// A sample with another number of experts replaces the estimate.
Popularity AddPopularitySample(Popularity popularity,
                               std::span<const double> tokens_per_step,
                               TimePoint now);

}  // namespace toucanhollow

#endif  // EXPERT_MAP_POPULARITY_H_
