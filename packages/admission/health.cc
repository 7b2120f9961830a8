#include "admission/health.h"

#include <algorithm>
#include <utility>

#include "admission/limit.h"

namespace toucanhollow {
namespace {

// Prompt tokens to compute that are assumed to double the time to first token.
// It only normalises samples before they are compared with each other, so an
// approximate value is sufficient.
constexpr double kPrefillTokensToDoubleFirstToken = 512;
constexpr double kServiceTimeSampleWeight = 1.0 / 16;

HealthThresholds MakeFirstTokenThresholds(
    const AdmissionParameters& parameters) {
  return {parameters.first_token_target, parameters.first_token_noise,
          parameters.growth_factor, parameters.unhealthy_factor};
}

HealthThresholds MakeStepThresholds(const AdmissionParameters& parameters) {
  return {parameters.step_target, parameters.step_noise,
          parameters.growth_factor, parameters.unhealthy_factor};
}

Health ClassifyStep(AdmissionState& state, Duration step) {
  const double step_ms = ToMilliseconds(step);
  const Health verdict =
      ClassifySample(state.step, MakeStepThresholds(state.parameters), step_ms);
  state.step = UpdateBaseline(state.step, verdict, step_ms);
  state.last_step_ms = step_ms;
  return verdict;
}

Health ClassifyAnswer(AdmissionState& state, const CompletionSample& sample) {
  const double first_token_ms =
      ToMilliseconds(sample.first_token) /
      (1 + sample.prefill_tokens / kPrefillTokensToDoubleFirstToken);
  const Health first_token = ClassifySample(
      state.first_token, MakeFirstTokenThresholds(state.parameters),
      first_token_ms);
  state.first_token =
      UpdateBaseline(state.first_token, first_token, first_token_ms);
  if (sample.step == Duration(0)) {
    return first_token;
  }
  return std::max(first_token, ClassifyStep(state, sample.step));
}

// The limit grows only while at least half of it is in use: a healthy sample at
// low load does not show that the endpoint can serve a higher load.
bool IsLimitHalfUsed(const AdmissionState& state, int slots_before) {
  return 2 * slots_before >= state.limit;
}

}  // namespace

AdmissionState RecordCompletion(AdmissionState&& state,
                                const CompletionSample& sample,
                                TimePoint now) {
  state = AdvanceTime(std::move(state), now);
  const auto found = state.in_flight.find(sample.dispatch);
  if (found == state.in_flight.end()) {
    return std::move(state);
  }
  const double service_ms = ToMilliseconds(now - found->second);
  const int slots_before = CountSlotsInUse(state);
  state.in_flight.erase(found);
  state = UpdateInFlightMinimum(std::move(state), now);
  switch (sample.outcome) {
    case CompletionOutcome::kCancelled:
    case CompletionOutcome::kNotRun:
      return std::move(state);
    case CompletionOutcome::kError:
    case CompletionOutcome::kEngineRefused:
      return HalveLimit(std::move(state));
    case CompletionOutcome::kAnswered:
      break;
  }
  state.mean_service_ms =
      state.mean_service_ms == 0
          ? service_ms
          : state.mean_service_ms +
                kServiceTimeSampleWeight * (service_ms - state.mean_service_ms);
  state.last_health_sample = now;
  const Health verdict = ClassifyAnswer(state, sample);
  if (verdict == Health::kUnhealthy) {
    return HalveLimit(std::move(state));
  }
  if (verdict == Health::kHealthy && IsLimitHalfUsed(state, slots_before)) {
    return GrowLimit(std::move(state), now);
  }
  return std::move(state);
}

AdmissionState RecordEngineReport(AdmissionState&& state,
                                  const EngineReport& report,
                                  TimePoint now) {
  state = UpdateInFlightMinimum(AdvanceTime(std::move(state), now), now);
  const bool new_engine =
      state.engine_incarnation && *state.engine_incarnation != report.engine;
  state.engine_incarnation = report.engine;
  if (new_engine) {
    // Another engine process may run another model or version, so its baselines
    // are learned again.
    state.first_token = {};
    state.step = {};
    state.orphaned_requests = 0;
    state.last_health_sample.reset();
    return ResetToColdLimit(std::move(state));
  }
  // The report is up to one report lag old. Subtracting the smallest number of
  // this agent's requests in flight since then gives an upper bound for the
  // orphaned requests.
  const int own_in_flight = std::min(state.in_flight_minimum.current,
                                     state.in_flight_minimum.previous);
  const int orphaned = std::max(0, report.running - own_in_flight);
  // Before this agent admits its first dispatch, all requests in the engine are
  // orphaned, and one sent by the earlier agent may still arrive. So the number
  // may rise until then and can only fall afterwards.
  state.orphaned_requests =
      now < state.admit_after || !state.orphaned_requests_known
          ? std::max(orphaned, state.orphaned_requests)
          : std::min(orphaned, state.orphaned_requests);
  state.orphaned_requests_known = true;
  state = TrimGrants(std::move(state));
  if (report.running == 0) {
    // An idle engine has no step time. The last step time of a cold engine
    // would divert work to other endpoints, and without work the engine stays
    // cold.
    state.last_step_ms = 0;
    return std::move(state);
  }
  if (report.step == Duration(0)) {
    return std::move(state);
  }
  state.last_health_sample = now;
  return ClassifyStep(state, report.step) == Health::kUnhealthy
             ? HalveLimit(std::move(state))
             : std::move(state);
}

}  // namespace toucanhollow
