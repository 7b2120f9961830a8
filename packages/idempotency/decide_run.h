// What an agent does with a keyed dispatch, by what it has read of the log.
#ifndef IDEMPOTENCY_DECIDE_RUN_H_
#define IDEMPOTENCY_DECIDE_RUN_H_

#include "base/result_code.h"
#include "base/time.h"
#include "idempotency/claim_fold.h"
#include "idempotency/keyed_dispatch.h"

namespace toucanhollow {

struct RunDecision {
  enum class Kind {
    kClaim,   // append a claim, run only after it has won
    kRun,     // the dispatch's own claim holds the key
    kAnswer,  // repeat `result`
    kRefuse,  // certainly not run, with `code`
    kReport,  // outcome unknown, with `code`
  };
  Kind kind = Kind::kClaim;
  ResultCode code = ResultCode::kAnswered;
  ResultRecord result;

  bool operator==(const RunDecision&) const = default;
};

// Codes: kKeyExpired, kKeyInFuture, kKeyConflict, kDispatchVoided,
// kKeyOutcomeUnknown, kAnswerTruncated. kRun still requires that the claim is
// of the agent's own unbroken incarnation and that it has not abandoned the
// dispatch, which claim_agent.h checks.
RunDecision DecideRun(const ClaimFold& fold,
                      const KeyedDispatch& dispatch,
                      WallTime now);

}  // namespace toucanhollow

#endif  // IDEMPOTENCY_DECIDE_RUN_H_
