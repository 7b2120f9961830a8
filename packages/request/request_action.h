// What the entry host must do for a request.
#ifndef REQUEST_REQUEST_ACTION_H_
#define REQUEST_REQUEST_ACTION_H_

#include <string>
#include <variant>

#include "base/name.h"
#include "base/result.h"
#include "request/request_life.h"

namespace toucanhollow {

// Hand the next piece to the caller.
struct DeliverPiece {
  std::string text;

  bool operator==(const DeliverPiece&) const = default;
};

// Choose an endpoint and send a dispatch that starts at `delivered`. Answered
// by AttemptStarted or NoAttemptPossible.
struct StartAttempt {
  // An earlier attempt may have run, so this one spends the retry budget.
  bool spends_retry = false;

  bool operator==(const StartAttempt&) const = default;
};

// Tell the agent that nobody waits for this dispatch.
struct CancelAttempt {
  DispatchId dispatch_id;
  EndpointName endpoint;

  bool operator==(const CancelAttempt&) const = default;
};

// Append a void of this dispatch to the log. Answered by VoidSettled.
struct VoidDispatch {
  DispatchId dispatch_id;

  bool operator==(const VoidDispatch&) const = default;
};

// The answer is whole: every piece was delivered.
struct FinishWhole {
  AnswerEnd end;

  bool operator==(const FinishWhole&) const = default;
};

// No whole answer will come. The code tells whether the request ran.
struct FinishFailed {
  Failure failure;

  bool operator==(const FinishFailed&) const = default;
};

using RequestAction = std::variant<DeliverPiece,
                                   StartAttempt,
                                   CancelAttempt,
                                   VoidDispatch,
                                   FinishWhole,
                                   FinishFailed>;

}  // namespace toucanhollow

#endif  // REQUEST_REQUEST_ACTION_H_
