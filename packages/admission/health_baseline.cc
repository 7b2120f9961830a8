#include "admission/health_baseline.h"

#include <algorithm>

namespace toucanhollow {
namespace {

// The baseline is used after 8 healthy or 32 neutral samples. Neutral samples
// count because an engine that is consistently slower than its target must not
// stay cold for ever.
constexpr int kRequiredEvidence = 32;
constexpr int kEvidencePerHealthySample = 4;
constexpr int kEvidencePerNeutralSample = 1;
constexpr double kSampleWeight = 1.0 / 16;

}  // namespace

Health ClassifySample(const HealthBaseline& baseline,
                      const HealthThresholds& thresholds,
                      double sample_ms) {
  const bool learned = baseline.evidence >= kRequiredEvidence;
  const double target_ms = ToMilliseconds(thresholds.target);
  if (!learned && target_ms <= 0) {
    return Health::kHealthy;
  }
  const double reference_ms = learned ? baseline.mean_ms : target_ms;
  const double noise_ms = ToMilliseconds(thresholds.noise);
  const double growth_ms =
      learned ? std::max(reference_ms * thresholds.growth_factor,
                         reference_ms + noise_ms)
              : reference_ms;
  const double unhealthy_ms = std::max(
      reference_ms * thresholds.unhealthy_factor, reference_ms + noise_ms);
  if (sample_ms > unhealthy_ms) {
    return Health::kUnhealthy;
  }
  return sample_ms <= growth_ms ? Health::kHealthy : Health::kNeutral;
}

HealthBaseline UpdateBaseline(const HealthBaseline& baseline,
                              Health verdict,
                              double sample_ms) {
  if (verdict == Health::kUnhealthy) {
    return baseline;
  }
  const int evidence = verdict == Health::kHealthy ? kEvidencePerHealthySample
                                                   : kEvidencePerNeutralSample;
  // Early samples have a larger weight, so that the mean does not start from
  // zero.
  const double weight =
      baseline.evidence == 0
          ? 1.0
          : std::max(kSampleWeight,
                     static_cast<double>(evidence) /
                         static_cast<double>(baseline.evidence + evidence));
  return HealthBaseline{
      baseline.mean_ms + weight * (sample_ms - baseline.mean_ms),
      std::min(baseline.evidence + evidence, kRequiredEvidence)};
}

}  // namespace toucanhollow
