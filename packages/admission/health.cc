#include "admission/health.h"

#include <algorithm>
#include <utility>

#include "admission/limit.h"

namespace toucanhollow {
namespace {

// Prompt tokens after which the first-token time is taken to double. Only the
// comparison of like with like matters, so a rough value serves.
constexpr double kPrefillTokensPerUnit = 512;
constexpr double kServiceWeight = 1.0 / 16;

HealthThresholds FirstTokenRule(const AdmissionParameters& parameters) {
  return {parameters.first_token_target, parameters.first_token_noise,
          parameters.growth_factor, parameters.unhealthy_factor};
}

HealthThresholds StepRule(const AdmissionParameters& parameters) {
  return {parameters.step_target, parameters.step_noise,
          parameters.growth_factor, parameters.unhealthy_factor};
}

Health JudgeStep(AdmissionState& state, Duration step) {
  const double step_ms = ToMilliseconds(step);
  const Health verdict =
      ClassifySample(state.step, StepRule(state.parameters), step_ms);
  state.step = UpdateBaseline(state.step, verdict, step_ms);
  state.last_step_ms = step_ms;
  return verdict;
}

Health JudgeAnswer(AdmissionState& state, const CompletionSample& sample) {
  const double first_token_ms =
      ToMilliseconds(sample.first_token) /
      (1 + sample.prefill_tokens / kPrefillTokensPerUnit);
  const Health first_token = ClassifySample(
      state.first_token, FirstTokenRule(state.parameters), first_token_ms);
  state.first_token =
      UpdateBaseline(state.first_token, first_token, first_token_ms);
  if (sample.step == Duration(0)) {
    return first_token;
  }
  return std::max(first_token, JudgeStep(state, sample.step));
}

// The limit grows only while at least half of it is in use: a sample at a low
// load does not show that the endpoint bears a high one.
bool LimitIsUsed(const AdmissionState& state, int slots_before) {
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
                kServiceWeight * (service_ms - state.mean_service_ms);
  state.last_health_sample = now;
  const Health verdict = JudgeAnswer(state, sample);
  if (verdict == Health::kUnhealthy) {
    return HalveLimit(std::move(state));
  }
  if (verdict == Health::kHealthy && LimitIsUsed(state, slots_before)) {
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
    // Another engine process may run another model or version, so its warm
    // times are learned again.
    state.first_token = {};
    state.step = {};
    state.orphaned_requests = 0;
    state.last_health_sample.reset();
    return ResetToColdLimit(std::move(state));
  }
  // The report is up to one lag old, so the smallest own number in flight
  // since then leaves the most to the earlier agent.
  const int own = std::min(state.in_flight_minimum.current,
                           state.in_flight_minimum.previous);
  const int foreign = std::max(0, report.running - own);
  // Before the first admission the engine only holds work of others, and a
  // dispatch of the old agent may still be on its way to it.
  state.orphaned_requests =
      now < state.admit_after || !state.orphaned_requests_known
          ? std::max(foreign, state.orphaned_requests)
          : std::min(foreign, state.orphaned_requests);
  state.orphaned_requests_known = true;
  state = TrimGrants(std::move(state));
  if (report.running == 0) {
    // An idle engine has no step time. The last one of a cold engine would
    // keep work away, and without work the engine never warms up.
    state.last_step_ms = 0;
    return std::move(state);
  }
  if (report.step == Duration(0)) {
    return std::move(state);
  }
  state.last_health_sample = now;
  return JudgeStep(state, report.step) == Health::kUnhealthy
             ? HalveLimit(std::move(state))
             : std::move(state);
}

}  // namespace toucanhollow
