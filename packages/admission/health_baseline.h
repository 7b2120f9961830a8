// HealthBaseline: the learned time of a warm endpoint, and the verdict on one
// sample against it.
#ifndef ADMISSION_HEALTH_BASELINE_H_
#define ADMISSION_HEALTH_BASELINE_H_

#include "base/time.h"

namespace toucanhollow {

struct HealthBaseline {
  double mean_ms = 0;
  // The baseline is used once enough evidence is collected.
  int evidence = 0;

  bool operator==(const HealthBaseline&) const = default;
};

enum class Health {
  kHealthy,    // the limit may grow
  kNeutral,    // the limit stays
  kUnhealthy,  // the limit halves
};

struct HealthThresholds {
  Duration target;
  Duration noise;
  double growth_factor;
  double unhealthy_factor;

  bool operator==(const HealthThresholds&) const = default;
};

Health ClassifySample(const HealthBaseline& baseline,
                      const HealthThresholds& rule,
                      double sample_ms);

// The baseline after a sample with this verdict. Unhealthy samples never move
// it, so that a cold endpoint does not redefine what is warm.
HealthBaseline UpdateBaseline(const HealthBaseline& baseline,
                              Health verdict,
                              double sample_ms);

}  // namespace toucanhollow

#endif  // ADMISSION_HEALTH_BASELINE_H_
