// Decides what an agent does with a keyed dispatch, from what it has read of
// the log.
#ifndef IDEMPOTENCY_DECIDE_RUN_H_
#define IDEMPOTENCY_DECIDE_RUN_H_

#include "base/result_code.h"
#include "base/time.h"
#include "idempotency/claim_fold.h"
#include "idempotency/keyed_dispatch.h"

namespace toucanhollow {

struct RunDecision {
  enum class Kind {
    kClaim,   // append a claim and run only after it has won
    kRun,     // the dispatch's own claim holds the key
    kAnswer,  // send the stored `result`
    kRefuse,  // certainly not run; refuse with `code`
    kReport,  // outcome unknown, or answer not stored; report `code`
  };
  Kind kind = Kind::kClaim;
  ResultCode code = ResultCode::kAnswered;
  ResultRecord result;

  bool operator==(const RunDecision&) const = default;
};

// Codes: kKeyExpired, kKeyInFuture, kKeyConflict, kDispatchVoided,
// kKeyOutcomeUnknown, kAnswerTruncated. kRun is not sufficient to run the
// dispatch: the claim must also be of the agent's present incarnation, and the
// agent must not have abandoned the dispatch. claim_agent.cc checks both.
RunDecision DecideRun(const ClaimFold& fold,
                      const KeyedDispatch& dispatch,
                      WallTime now);

}  // namespace toucanhollow

#endif  // IDEMPOTENCY_DECIDE_RUN_H_
