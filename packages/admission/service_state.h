// Changes of the service state that an agent learns from records, the host
// list and signals. Requests in flight are never touched.
#ifndef ADMISSION_SERVICE_STATE_H_
#define ADMISSION_SERVICE_STATE_H_

#include "admission/admission_parameters.h"
#include "admission/admission_state.h"
#include "base/time.h"

namespace toucanhollow {

// Takes the agent's data centre out or back. One that was out for longer than
// the tolerance, by this agent's clock, returns cold.
AdmissionState SetDataCentreOut(AdmissionState&& state,
                                bool out,
                                TimePoint now);

AdmissionState SetEndpointOut(AdmissionState&& state, bool out);

// `leaving` is set by SIGTERM or by the host list. A listing that is taken
// back ends it; SIGTERM is never taken back by the caller.
AdmissionState SetLeaving(AdmissionState&& state, bool leaving);

// Parameters of a new record. A lower full limit takes effect at once.
AdmissionState SetParameters(AdmissionState&& state,
                             const AdmissionParameters& parameters);

// What a heartbeat says about the endpoint.
struct AdmissionSummary {
  int limit = 0;
  int full_limit = 0;
  int in_flight = 0;
  int waiting = 0;
  // Slots granted to senders and not yet used.
  int granted = 0;
  bool warm = false;
  bool takes_work = false;
  Duration step{0};
  Duration mean_service{0};

  bool operator==(const AdmissionSummary&) const = default;
};

AdmissionSummary SummarizeAdmission(const AdmissionState& state, TimePoint now);

}  // namespace toucanhollow

#endif  // ADMISSION_SERVICE_STATE_H_
