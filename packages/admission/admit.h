// Admit decides whether an agent runs, queues or refuses an arriving dispatch.
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
  // Agent incarnation that the sender addressed.
  Incarnation receiver;
  ProcessName sender;
  Duration remaining_deadline = Duration::max();

  bool operator==(const AdmissionRequest&) const = default;
};

enum class AdmissionVerdict {
  kRun,      // the dispatch holds a slot
  kWait,     // queued; StartOrRefuseWaiting starts or refuses it later
  kRefused,  // has not run and will not run; the code says why
};

struct AdmissionDecision {
  AdmissionState state;
  AdmissionVerdict verdict = AdmissionVerdict::kRefused;
  // kAnswered unless the verdict is kRefused.
  ResultCode code = ResultCode::kAnswered;

  bool operator==(const AdmissionDecision&) const = default;
};

// Decides on an arriving dispatch. The state is passed by move because it holds
// the identifiers of all dispatches seen. Refuses with kStaleIncarnation,
// kDuplicateDispatch, kLeaving, kDataCentreOut, kNoEndpointAvailable (the
// endpoint is out of service), kNotReady (within the report lag after the
// agent's start, or before the engine's first load report), kEndpointFull or
// kDeadlineTooShort.
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

// Starts waiting dispatches while slots are free. Refuses those whose deadline
// has passed (kDeadlineTooShort), and all of them if the endpoint no longer
// accepts work (kLeaving, kDataCentreOut, kNoEndpointAvailable). To be called
// after each completion, after each change of the service state, and on a timer
// while dispatches wait.
WaitingDecision StartOrRefuseWaiting(AdmissionState&& state, TimePoint now);

struct WithdrawDecision {
  AdmissionState state;
  // False if the dispatch was not waiting.
  bool found = false;

  bool operator==(const WithdrawDecision&) const = default;
};

// Removes a dispatch from the queue if it still waits.
WithdrawDecision WithdrawWaiting(AdmissionState&& state,
                                 const DispatchId& dispatch);

}  // namespace toucanhollow

#endif  // ADMISSION_ADMIT_H_
