#include "admission/limit.h"

#include <algorithm>

namespace toucanhollow {

AdmissionState ResetToColdLimit(AdmissionState&& state) {
  state.limit =
      std::min(state.parameters.cold_limit, state.parameters.full_limit);
  state.recent_growth.clear();
  return TrimGrants(std::move(state));
}

AdmissionState AdvanceTime(AdmissionState&& state, TimePoint now) {
  std::erase_if(state.grants, [now](const auto& grant) {
    return grant.second.expiry <= now;
  });
  if (state.last_health_sample &&
      now - *state.last_health_sample > state.parameters.health_timeout) {
    state.last_health_sample.reset();
    return ResetToColdLimit(std::move(state));
  }
  return std::move(state);
}

AdmissionState GrowLimit(AdmissionState&& state, TimePoint now) {
  std::erase_if(state.recent_growth, [&](const LimitChange& change) {
    return change.time + state.parameters.ramp_interval <= now;
  });
  int lowest = state.limit;
  for (const LimitChange& change : state.recent_growth) {
    lowest = std::min(lowest, change.previous);
  }
  const int ceiling = std::min(state.parameters.full_limit, 2 * lowest);
  if (state.limit < ceiling) {
    state.recent_growth.push_back({now, state.limit});
    ++state.limit;
  }
  return std::move(state);
}

AdmissionState HalveLimit(AdmissionState&& state) {
  const int floor =
      std::min(state.parameters.cold_limit, state.parameters.full_limit);
  state.limit = std::max(floor, state.limit / 2);
  // Later growth within the ramp interval is limited to twice the halved limit.
  for (LimitChange& change : state.recent_growth) {
    change.previous = std::min(change.previous, state.limit);
  }
  return TrimGrants(std::move(state));
}

int CountSlotsInUse(const AdmissionState& state) {
  return static_cast<int>(state.in_flight.size()) + state.orphaned_requests;
}

bool IsReady(const AdmissionState& state, TimePoint now) {
  return now >= state.admit_after &&
         (state.orphaned_requests_known || !state.parameters.reports_load);
}

int CountGrantedSlots(const AdmissionState& state) {
  int sum = 0;
  for (const auto& [holder, grant] : state.grants) {
    sum += grant.count;
  }
  return sum;
}

AdmissionState TrimGrants(AdmissionState&& state) {
  int excess = CountSlotsInUse(state) + CountGrantedSlots(state) - state.limit;
  for (auto grant = state.grants.begin();
       excess > 0 && grant != state.grants.end();) {
    const int dropped = std::min(excess, grant->second.count);
    grant->second.count -= dropped;
    excess -= dropped;
    grant =
        grant->second.count == 0 ? state.grants.erase(grant) : std::next(grant);
  }
  return std::move(state);
}

AdmissionState UpdateInFlightMinimum(AdmissionState&& state, TimePoint now) {
  const int count = static_cast<int>(state.in_flight.size());
  InFlightMinimum& minimum = state.in_flight_minimum;
  const Duration age = now - minimum.window_start;
  if (age >= state.parameters.report_lag) {
    // If no update came for a whole window, the count at its end is also the
    // minimum of that window.
    minimum.previous = age >= 2 * state.parameters.report_lag
                           ? std::min(minimum.current, count)
                           : minimum.current;
    minimum.current = count;
    minimum.window_start = now;
  }
  minimum.current = std::min(minimum.current, count);
  return std::move(state);
}

}  // namespace toucanhollow
