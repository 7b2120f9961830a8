// Estimate of how popular each expert is: an exponentially weighted mean of the
// tokens that it was given per step.
#ifndef EXPERT_MAP_POPULARITY_H_
#define EXPERT_MAP_POPULARITY_H_

#include <span>
#include <vector>

#include "base/time.h"

namespace toucanhollow {

// Long enough to average over bursts, short against the horizon of a change.
constexpr Duration kPopularityHalfLife = Seconds(60);

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
