// Concurrency limit of an endpoint and the slots in use. The limit grows with
// healthy samples, halves with unhealthy ones, and returns to the cold limit
// when the state of the endpoint is unknown.
#ifndef ADMISSION_LIMIT_H_
#define ADMISSION_LIMIT_H_

#include "admission/admission_state.h"
#include "base/time.h"

namespace toucanhollow {

// Drops expired grants, and resets the limit to the cold limit if the last
// health sample is older than the health timeout.
AdmissionState AdvanceTime(AdmissionState&& state, TimePoint now);

// Resets the limit to the cold limit and clears the history of its growth.
AdmissionState ResetToColdLimit(AdmissionState&& state);

// Raises the limit by one, unless it would more than double within the ramp
// interval or exceed the full limit.
AdmissionState GrowLimit(AdmissionState&& state, TimePoint now);

// Halves the limit, but not below the cold limit.
AdmissionState HalveLimit(AdmissionState&& state);

// Counts the requests that hold a slot: those that this agent started and those
// that an earlier incarnation left in the engine.
int CountSlotsInUse(const AdmissionState& state);

// True once the report lag has passed since the agent's start and, if the
// engine reports load, the number of requests that an earlier agent left in it
// is known.
bool IsReady(const AdmissionState& state, TimePoint now);

// Counts the slots of all grants.
int CountGrantedSlots(const AdmissionState& state);

// Drops grants until their sum with the slots in use is at most the limit.
// Their holders are not notified; their next dispatch may be refused.
AdmissionState TrimGrants(AdmissionState&& state);

// Updates the smallest number of requests in flight within the last report lag.
AdmissionState UpdateInFlightMinimum(AdmissionState&& state, TimePoint now);

}  // namespace toucanhollow

#endif  // ADMISSION_LIMIT_H_
