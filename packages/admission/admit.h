// Admit: the agent's decision on an arriving dispatch.
#ifndef ADMISSION_ADMIT_H_
#define ADMISSION_ADMIT_H_

#include <vector>

#include "admission/admission_state.h"
#include "base/incarnation.h"
#include "base/name.h"
#include "base/result_code.h"
#include "base/time.h"

namespace toucanhollow {

struct AdmissionRequest {
  DispatchId dispatch;
  // The agent incarnation that the sender addressed.
  Incarnation receiver;
  ProcessName sender;
  Duration remaining_deadline = Duration::max();

  bool operator==(const AdmissionRequest&) const = default;
};

enum class AdmissionVerdict {
  kRun,      // the dispatch holds a slot
  kWait,     // StartOrRefuseWaiting starts or refuses it later
  kRefused,  // certainly not run, with the code
};

struct AdmissionDecision {
  AdmissionState state;
  AdmissionVerdict verdict = AdmissionVerdict::kRefused;
  // kAnswered unless refused.
  ResultCode code = ResultCode::kAnswered;

  bool operator==(const AdmissionDecision&) const = default;
};

// Decides on an arriving dispatch. The state is passed by move because it
// holds the identifiers of all dispatches seen. Codes: kStaleIncarnation,
// kDuplicateDispatch, kLeaving, kDataCentreOut, kNoEndpointAvailable (the
// endpoint is out), kNotReady (within the report lag after the agent's start),
// kEndpointFull, kDeadlineTooShort.
AdmissionDecision Admit(AdmissionState&& state,
                        const AdmissionRequest& request,
                        TimePoint now);

struct RefusedDispatch {
  DispatchId dispatch;
  ResultCode code = ResultCode::kEndpointFull;

  bool operator==(const RefusedDispatch&) const = default;
};

struct WaitingDecision {
  AdmissionState state;
  // Dispatches that now hold a slot, in order of arrival.
  std::vector<DispatchId> started;
  std::vector<RefusedDispatch> refused;

  bool operator==(const WaitingDecision&) const = default;
};

// Starts waiting dispatches while slots are free and refuses those whose
// deadline passed or that may not run here any more. To be called after each
// completion, each change of the service state, and on a timer while
// dispatches wait.
WaitingDecision StartOrRefuseWaiting(AdmissionState&& state, TimePoint now);

// Forgets a dispatch that still waits; false in `found` if it does not wait.
struct WithdrawDecision {
  AdmissionState state;
  bool found = false;

  bool operator==(const WithdrawDecision&) const = default;
};
WithdrawDecision WithdrawWaiting(AdmissionState&& state,
                                 const DispatchId& dispatch);

}  // namespace toucanhollow

#endif  // ADMISSION_ADMIT_H_
