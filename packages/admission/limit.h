// The limit of an endpoint: growth, halving, the rule that unknown means
// cold, and the slots in use.
#ifndef ADMISSION_LIMIT_H_
#define ADMISSION_LIMIT_H_

#include "admission/admission_state.h"
#include "base/time.h"

namespace toucanhollow {

// Applies what the passage of time alone changes: grants expire, and an
// endpoint without a health sample becomes cold.
AdmissionState AdvanceTime(AdmissionState&& state, TimePoint now);

// Sets the cold limit and forgets what was learned about growth.
AdmissionState ResetToColdLimit(AdmissionState&& state);

// Grows the limit by one, at most doubling within the ramp interval.
AdmissionState GrowLimit(AdmissionState&& state, TimePoint now);

// Halves the limit down to the cold limit.
AdmissionState HalveLimit(AdmissionState&& state);

// Requests that hold a slot: own and those of an earlier agent.
int CountSlotsInUse(const AdmissionState& state);

// True once the report lag has passed and the work that an earlier agent left
// in the engine is known.
bool IsReady(const AdmissionState& state, TimePoint now);

int CountGrantedSlots(const AdmissionState& state);

// Drops grants until they sum with the slots in use to at most the limit.
// Their holders learn it by a refusal.
AdmissionState TrimGrants(AdmissionState&& state);

// Keeps the smallest number in flight of the last report lag up to date.
AdmissionState UpdateInFlightMinimum(AdmissionState&& state, TimePoint now);

}  // namespace toucanhollow

#endif  // ADMISSION_LIMIT_H_
