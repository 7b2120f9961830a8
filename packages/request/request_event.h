// Events of a request. Events of an attempt that has ended, of another
// incarnation or of another request change nothing.
#ifndef REQUEST_REQUEST_EVENT_H_
#define REQUEST_REQUEST_EVENT_H_

#include <cstdint>
#include <string>
#include <variant>

#include "base/incarnation.h"
#include "base/name.h"
#include "base/result.h"
#include "request/request_state.h"

namespace toucanhollow {

// A dispatch is about to be sent, as requested by StartAttempt or by a hedge.
struct AttemptStarted {
  DispatchId dispatch_id;
  EndpointName endpoint;
  Incarnation incarnation;
  bool hedge = false;
};

struct PieceArrived {
  DispatchId dispatch_id;
  Incarnation incarnation;
  std::uint64_t index = 0;
  std::string text;
};

struct EndArrived {
  DispatchId dispatch_id;
  Incarnation incarnation;
  AnswerEnd end;
};

// The attempt ended without an answer. `not_run` is true only if it certainly
// did not run.
struct AttemptFailed {
  DispatchId dispatch_id;
  Incarnation incarnation;
  bool not_run = false;
  Failure failure;
};

// The outcome in the log of a dispatch that was to be voided.
struct VoidSettled {
  DispatchId dispatch_id;
  // The void record precedes any claim, so the dispatch can never run.
  bool never_runs = false;
  Failure failure;
};

// The log holds the answer of the dispatch that was to be voided.
struct StoredAnswer {
  DispatchId dispatch_id;
  std::string text;
  AnswerEnd end;
};

// No attempt can be started now: no endpoint is available, or the retry budget
// is spent.
struct NoAttemptPossible {
  Failure failure;
};

struct DeadlinePassed {};

struct CallerDisconnected {};

using RequestEvent = std::variant<AttemptStarted,
                                  PieceArrived,
                                  EndArrived,
                                  AttemptFailed,
                                  VoidSettled,
                                  StoredAnswer,
                                  NoAttemptPossible,
                                  DeadlinePassed,
                                  CallerDisconnected>;

}  // namespace toucanhollow

#endif  // REQUEST_REQUEST_EVENT_H_
