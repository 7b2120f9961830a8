#include "admission/health_baseline.h"

#include <algorithm>

namespace toucanhollow {
namespace {

// Eight healthy samples, or 32 samples that are slower than the target but
// steady: an engine that is always slow must not stay cold for ever.
constexpr int kEvidenceNeeded = 32;
constexpr int kHealthyEvidence = 4;
constexpr int kNeutralEvidence = 1;
constexpr double kSampleWeight = 1.0 / 16;

}  // namespace

Health ClassifySample(const HealthBaseline& baseline,
                      const HealthThresholds& rule,
                      double sample_ms) {
  const bool learned = baseline.evidence >= kEvidenceNeeded;
  const double target_ms = ToMilliseconds(rule.target);
  if (!learned && target_ms <= 0) {
    return Health::kHealthy;
  }
  const double reference_ms = learned ? baseline.mean_ms : target_ms;
  const double noise_ms = ToMilliseconds(rule.noise);
  const double growth_ms = learned ? std::max(reference_ms * rule.growth_factor,
                                              reference_ms + noise_ms)
                                   : reference_ms;
  const double unhealthy_ms =
      std::max(reference_ms * rule.unhealthy_factor, reference_ms + noise_ms);
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
  const int evidence =
      verdict == Health::kHealthy ? kHealthyEvidence : kNeutralEvidence;
  // The first samples count fully, so that the mean does not start at zero.
  const double weight =
      baseline.evidence == 0
          ? 1.0
          : std::max(kSampleWeight,
                     static_cast<double>(evidence) /
                         static_cast<double>(baseline.evidence + evidence));
  return HealthBaseline{
      baseline.mean_ms + weight * (sample_ms - baseline.mean_ms),
      std::min(baseline.evidence + evidence, kEvidenceNeeded)};
}

}  // namespace toucanhollow
