// Plans a new expert map and decides whether its benefit exceeds the cost of
// the change.
#ifndef EXPERT_MAP_PLACEMENT_H_
#define EXPERT_MAP_PLACEMENT_H_

#include <cstddef>
#include <optional>
#include <span>

#include "base/time.h"
#include "expert_map/expert_map.h"

namespace toucanhollow {

// The costs and limits of a map change. Times ending in `_ms` are milliseconds
// for which the whole group stands still or is slowed down.
struct PlacementCosts {
  // Step time per token that the experts of a rank receive in a step.
  double ms_per_token = 0;
  // The current step time; gives the number of steps within the horizon.
  double step_ms = 30;
  // The pause at the activation of a map.
  double pause_ms = 0;
  // The loss per expert loaded: its bytes times the slow-down per byte while
  // its weights are loaded.
  double ms_per_expert_loaded = 0;
  // The loss due to caches that the change invalidates.
  double cache_loss_ms = 0;
  // The period over which the benefit is counted. If it were longer than
  // `min_interval`, a plan would count time that the next plan decides about.
  // With 10 min, plans moved two to four times as many weights without reducing
  // the skew further (docs/measurements-placement.md).
  Duration horizon = Seconds(60);
  // The minimum time between two changes.
  Duration min_interval = Seconds(60);
  // The benefit must exceed the cost by this factor, so that noise in the
  // popularity estimate does not move experts back and forth.
  double hysteresis = 2;
  // The most experts that one change may load. More would lengthen the staging.
  std::size_t max_experts_to_load = 16;

  bool operator==(const PlacementCosts&) const = default;
};

struct PlacementPlan {
  enum class Verdict {
    kMove,
    kInsufficientBenefit,  // no change's benefit exceeds hysteresis times cost
    kTooSoon,  // the benefit suffices, but min_interval has not passed
  };
  Verdict verdict = Verdict::kInsufficientBenefit;
  // The best map found; the current one if none is better.
  ExpertMap map;
  // Over all ranks.
  std::size_t experts_to_load = 0;
  double benefit_ms = 0;
  double cost_ms = 0;

  bool operator==(const PlacementPlan&) const = default;
};

// Improves the current map by another split of tokens among replicas and by a
// few exchanges and replacements of replicas. `tokens_per_step` is the estimate
// for each expert. `last_change` is the time of the last change, if any.
PlacementPlan PlanPlacement(const ExpertMap& current,
                            std::span<const double> tokens_per_step,
                            const PlacementCosts& costs,
                            std::optional<TimePoint> last_change,
                            TimePoint now);

}  // namespace toucanhollow

#endif  // EXPERT_MAP_PLACEMENT_H_
