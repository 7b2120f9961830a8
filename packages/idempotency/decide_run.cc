#include "idempotency/decide_run.h"

namespace toucanhollow {
namespace {

using Kind = RunDecision::Kind;

RunDecision DecideHeldKey(const KeyState& state,
                          const KeyedDispatch& dispatch) {
  if (state.holder->digest != dispatch.digest) {
    return {Kind::kRefuse, ResultCode::kKeyConflict, {}};
  }
  if (state.result) {
    if (!state.result->whole) {
      return {Kind::kReport, ResultCode::kAnswerTruncated, {}};
    }
    return {Kind::kAnswer, ResultCode::kAnswered, *state.result};
  }
  if (state.holder->dispatch == dispatch.id) {
    return {Kind::kRun, ResultCode::kAnswered, {}};
  }
  return {Kind::kReport, ResultCode::kKeyOutcomeUnknown, {}};
}

}  // namespace

RunDecision DecideRun(const ClaimFold& fold,
                      const KeyedDispatch& dispatch,
                      WallTime now) {
  if (dispatch.key.issued < OldestSafeIssueTime(fold, now)) {
    return {Kind::kRefuse, ResultCode::kKeyExpired, {}};
  }
  if (dispatch.key.issued - now > kMaxKeyLead) {
    return {Kind::kRefuse, ResultCode::kKeyInFuture, {}};
  }
  const auto found = fold.keys.find(dispatch.key);
  if (found == fold.keys.end()) {
    return {Kind::kClaim, ResultCode::kAnswered, {}};
  }
  const KeyState& state = found->second;
  if (state.holder) {
    return DecideHeldKey(state, dispatch);
  }
  // No dispatch holds the key, but the outcome of this one is settled: it was
  // voided, released or lost and can never win (claim_fold.h, F1).
  if (state.outcomes.contains(dispatch.id)) {
    return {Kind::kRefuse, ResultCode::kDispatchVoided, {}};
  }
  return {Kind::kClaim, ResultCode::kAnswered, {}};
}

}  // namespace toucanhollow
