#include "expert_map/popularity.h"

#include <cmath>

namespace toucanhollow {

Popularity AddPopularitySample(Popularity popularity,
                               std::span<const double> tokens_per_step,
                               TimePoint now) {
  // The number of experts changed, so the old estimate does not apply.
  if (popularity.tokens_per_step.size() != tokens_per_step.size()) {
    popularity.tokens_per_step.assign(tokens_per_step.begin(),
                                      tokens_per_step.end());
    popularity.updated = now;
    return popularity;
  }
  const double half_lives =
      static_cast<double>((now - popularity.updated).count()) /
      static_cast<double>(popularity.half_life.count());
  const double weight = half_lives > 0 ? 1 - std::exp2(-half_lives) : 0;
  for (std::size_t i = 0; i < tokens_per_step.size(); ++i) {
    popularity.tokens_per_step[i] +=
        weight * (tokens_per_step[i] - popularity.tokens_per_step[i]);
  }
  popularity.updated = now;
  return popularity;
}

}  // namespace toucanhollow
