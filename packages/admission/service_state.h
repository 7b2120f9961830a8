// Changes of an endpoint's service state, which its agent gets from
// configuration records, the host list and signals. Requests in flight are not
// affected.
#ifndef ADMISSION_SERVICE_STATE_H_
#define ADMISSION_SERVICE_STATE_H_

#include "admission/admission_parameters.h"
#include "admission/admission_state.h"
#include "base/time.h"

namespace toucanhollow {

// Takes the agent's data centre out of service or puts it back. If it was out
// for longer than the warm outage limit, by this agent's clock, the endpoint
// returns cold.
AdmissionState SetDataCentreOut(AdmissionState&& state,
                                bool out,
                                TimePoint now);

// Takes the endpoint out of service or puts it back.
AdmissionState SetEndpointOut(AdmissionState&& state, bool out);

// `leaving` is set by SIGTERM or by the host list. The caller clears it when
// the host list no longer names the endpoint as leaving, but never after
// SIGTERM.
AdmissionState SetLeaving(AdmissionState&& state, bool leaving);

// Applies the parameters of a new configuration record. A lower full limit
// takes effect at once.
AdmissionState SetParameters(AdmissionState&& state,
                             const AdmissionParameters& parameters);

// The part of a heartbeat that describes the endpoint's admission state.
struct AdmissionSummary {
  int limit = 0;
  int full_limit = 0;
  int in_flight = 0;
  int waiting = 0;
  // Slots granted to entry hosts and not yet used.
  int granted = 0;
  bool warm = false;
  bool takes_work = false;
  // Last step time; zero for plain services and idle engines.
  Duration step{0};
  // Mean time from start to completion; zero if unknown.
  Duration mean_service{0};

  bool operator==(const AdmissionSummary&) const = default;
};

AdmissionSummary SummarizeAdmission(const AdmissionState& state, TimePoint now);

}  // namespace toucanhollow

#endif  // ADMISSION_SERVICE_STATE_H_
