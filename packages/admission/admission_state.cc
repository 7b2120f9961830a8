#include "admission/admission_state.h"

namespace toucanhollow {

AdmissionState MakeAdmissionState(const AdmissionParameters& parameters,
                                  Incarnation incarnation,
                                  TimePoint now) {
  AdmissionState state;
  state.parameters = parameters;
  state.incarnation = incarnation;
  state.limit = parameters.cold_limit;
  state.admit_after = now + parameters.report_lag;
  state.in_flight_minimum.window_start = now;
  state.seen.generation_start = now;
  return state;
}

}  // namespace toucanhollow
