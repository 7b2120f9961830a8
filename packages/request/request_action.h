// Actions that the entry host must perform for a request.
#ifndef REQUEST_REQUEST_ACTION_H_
#define REQUEST_REQUEST_ACTION_H_

#include <string>
#include <variant>

#include "base/name.h"
#include "base/result.h"
#include "request/request_state.h"

namespace toucanhollow {

// Send the next piece to the caller.
struct DeliverPiece {
  std::string text;

  bool operator==(const DeliverPiece&) const = default;
};

// Choose an endpoint and send a dispatch that starts at the piece `delivered`
// of the state. Answered by AttemptStarted or NoAttemptPossible.
struct StartAttempt {
  // An earlier attempt may have run, so this one spends the retry budget.
  bool spends_retry = false;

  bool operator==(const StartAttempt&) const = default;
};

// Notify the agent that no caller waits for this dispatch any more.
struct CancelAttempt {
  DispatchId dispatch_id;
  EndpointName endpoint;

  bool operator==(const CancelAttempt&) const = default;
};

// Append a void record of this dispatch to the log; an agent does not run a
// dispatch that is voided before it is claimed. Answered by VoidSettled or
// StoredAnswer.
struct VoidDispatch {
  DispatchId dispatch_id;

  bool operator==(const VoidDispatch&) const = default;
};

// The answer is complete: every piece was delivered.
struct FinishComplete {
  AnswerEnd end;

  bool operator==(const FinishComplete&) const = default;
};

// No complete answer will follow. The code tells whether the request ran.
struct FinishFailed {
  Failure failure;

  bool operator==(const FinishFailed&) const = default;
};

using RequestAction = std::variant<DeliverPiece,
                                   StartAttempt,
                                   CancelAttempt,
                                   VoidDispatch,
                                   FinishComplete,
                                   FinishFailed>;

}  // namespace toucanhollow

#endif  // REQUEST_REQUEST_ACTION_H_
