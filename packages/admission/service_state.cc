#include "admission/service_state.h"

#include <algorithm>
#include <utility>

#include "admission/limit.h"

namespace toucanhollow {
namespace {

Duration FromMilliseconds(double ms) {
  return Duration(static_cast<Duration::rep>(ms * 1000));
}

}  // namespace

AdmissionState SetDataCentreOut(AdmissionState&& state,
                                bool out,
                                TimePoint now) {
  if (out) {
    if (!state.data_centre_out_since) {
      state.data_centre_out_since = now;
    }
    state.grants.clear();
    return std::move(state);
  }
  const auto out_since = std::exchange(state.data_centre_out_since, {});
  if (out_since && now - *out_since > state.parameters.warm_outage_limit) {
    return ResetToColdLimit(std::move(state));
  }
  return std::move(state);
}

AdmissionState SetEndpointOut(AdmissionState&& state, bool out) {
  state.endpoint_out = out;
  if (out) {
    state.grants.clear();
  }
  return std::move(state);
}

AdmissionState SetLeaving(AdmissionState&& state, bool leaving) {
  state.leaving = leaving;
  if (leaving) {
    state.grants.clear();
  }
  return std::move(state);
}

AdmissionState SetParameters(AdmissionState&& state,
                             const AdmissionParameters& parameters) {
  state.parameters = parameters;
  state.limit = std::clamp(
      state.limit, std::min(parameters.cold_limit, parameters.full_limit),
      parameters.full_limit);
  return TrimGrants(std::move(state));
}

AdmissionSummary SummarizeAdmission(const AdmissionState& state,
                                    TimePoint now) {
  const AdmissionParameters& parameters = state.parameters;
  const bool known =
      state.last_health_sample &&
      now - *state.last_health_sample <= parameters.health_timeout;
  AdmissionSummary summary;
  // Once the health timeout has passed, the next decision calls
  // ResetToColdLimit, so the cold limit is already reported here.
  summary.limit = known || !state.last_health_sample
                      ? state.limit
                      : std::min(parameters.cold_limit, parameters.full_limit);
  summary.full_limit = parameters.full_limit;
  summary.in_flight = CountSlotsInUse(state);
  summary.waiting = static_cast<int>(state.waiting.size());
  for (const auto& [holder, grant] : state.grants) {
    summary.granted += grant.expiry > now ? grant.count : 0;
  }
  summary.warm = known && summary.limit > parameters.cold_limit;
  summary.takes_work = !state.leaving && !state.endpoint_out &&
                       !state.data_centre_out_since && IsReady(state, now);
  summary.step = FromMilliseconds(state.last_step_ms);
  summary.mean_service = FromMilliseconds(state.mean_service_ms);
  return summary;
}

}  // namespace toucanhollow
