// Whether a new expert map is worth its change, and which one.
#ifndef EXPERT_MAP_PLACEMENT_H_
#define EXPERT_MAP_PLACEMENT_H_

#include <cstddef>
#include <optional>
#include <span>

#include "base/time.h"
#include "expert_map/expert_map.h"

namespace toucanhollow {

// Measured or configured; all times are milliseconds of group time, in which
// the whole group stands or is slowed.
struct PlacementCosts {
  // Step time per token that a rank's experts are given in a step.
  double ms_per_token = 0;
  // Present step time, to count the steps within the horizon.
  double step_ms = 30;
  // Pause at activation.
  double pause_ms = 0;
  // Loss per expert loaded: its bytes times the slow-down per byte while the
  // weights load.
  double ms_per_load = 0;
  // Loss by caches that the change invalidates.
  double cache_ms = 0;
  // How long the benefit is counted. Longer than the minimum interval, a plan
  // would count time for which the next plan decides; with 10 min, plans moved
  // two to four times the weights for no less skew
  // (docs/measurements-placement.md).
  Duration horizon = Seconds(60);
  Duration min_interval = Seconds(60);
  // The benefit must exceed the cost by this factor, so that noise in the
  // estimate does not move weights back and forth.
  double hysteresis = 2;
  // Experts loaded in one change at most. More would lengthen the staging.
  std::size_t max_loads = 16;

  bool operator==(const PlacementCosts&) const = default;
};

struct PlacementPlan {
  enum class Verdict {
    kMove,
    kNotWorthIt,  // no change earns `hysteresis` times its cost
    kTooSoon,     // worth it, but the last change is too recent
  };
  Verdict verdict = Verdict::kNotWorthIt;
  // The best map found; the current one if none is better.
  ExpertMap map;
  std::size_t loads = 0;
  double benefit_ms = 0;
  double cost_ms = 0;

  bool operator==(const PlacementPlan&) const = default;
};

// Improves the current map by another split of tokens among replicas, few swaps
// and replacements of replicas.
// `tokens_per_step` is the estimate for each expert.
PlacementPlan PlanPlacement(const ExpertMap& current,
                            std::span<const double> tokens_per_step,
                            const PlacementCosts& costs,
                            std::optional<TimePoint> last_change,
                            TimePoint now);

}  // namespace toucanhollow

#endif  // EXPERT_MAP_PLACEMENT_H_
