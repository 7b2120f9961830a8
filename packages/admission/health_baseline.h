// HealthBaseline is the learned mean time of a warm endpoint. Samples are
// classified by comparison with it.
#ifndef ADMISSION_HEALTH_BASELINE_H_
#define ADMISSION_HEALTH_BASELINE_H_

#include "base/time.h"

namespace toucanhollow {

struct HealthBaseline {
  double mean_ms = 0;
  // Weighted number of samples, up to the number from which the baseline is
  // used instead of the target.
  int evidence = 0;

  bool operator==(const HealthBaseline&) const = default;
};

enum class Health {
  kHealthy,    // the limit may grow
  kNeutral,    // the limit does not change
  kUnhealthy,  // the limit halves
};

struct HealthThresholds {
  Duration target;
  Duration noise;
  double growth_factor;
  double unhealthy_factor;

  bool operator==(const HealthThresholds&) const = default;
};

// Classifies a sample by the baseline, or by the target until enough samples
// were collected. Without a baseline and a target, every sample is healthy.
Health ClassifySample(const HealthBaseline& baseline,
                      const HealthThresholds& thresholds,
                      double sample_ms);

// Returns the baseline after a sample with this verdict. Unhealthy samples do
// not change it, so that the baseline never adapts to the times of a cold
// endpoint.
HealthBaseline UpdateBaseline(const HealthBaseline& baseline,
                              Health verdict,
                              double sample_ms);

}  // namespace toucanhollow

#endif  // ADMISSION_HEALTH_BASELINE_H_
