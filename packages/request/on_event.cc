#include "request/on_event.h"

#include <algorithm>
#include <utility>

namespace toucanhollow {
namespace {

std::vector<Attempt>::iterator FindAttempt(RequestState& state,
                                           const DispatchId& dispatch_id) {
  return std::ranges::find(state.attempts, dispatch_id, &Attempt::dispatch_id);
}

// Cancels every open attempt except `keep`.
void CancelOthers(RequestStep& step, const DispatchId& keep) {
  for (const Attempt& attempt : step.state.attempts) {
    if (attempt.dispatch_id != keep) {
      step.actions.emplace_back(
          CancelAttempt{attempt.dispatch_id, attempt.endpoint});
    }
  }
  std::erase_if(step.state.attempts, [&](const Attempt& attempt) {
    return attempt.dispatch_id != keep;
  });
}

// The code that the caller receives must not claim that the request did not run
// if an attempt may have run.
Failure AdjustFailureCode(const RequestState& state, Failure failure) {
  if (!state.may_have_run || !IsCertainlyNotRun(failure.code)) {
    return failure;
  }
  return MakeFailure(
      state.delivered > 0 ? ResultCode::kAnswerTruncated
                          : ResultCode::kOutcomeUnknown,
      "an earlier attempt may have run; the last attempt ended with " +
          FormatFailure(failure));
}

void Fail(RequestStep& step, Failure failure) {
  CancelOthers(step, DispatchId{});
  step.state.ended = true;
  step.actions.emplace_back(
      FinishFailed{AdjustFailureCode(step.state, std::move(failure))});
}

// The agent has read in the log that an earlier dispatch of the key may have
// run. Voiding this dispatch would not prove that the request of the key has
// not run.
bool ReportsOutcomeOfKey(const Failure& failure) {
  return failure.code == ResultCode::kKeyOutcomeUnknown ||
         failure.code == ResultCode::kAnswerTruncated;
}

// To be called after an attempt has ended without a complete answer and has
// been removed from the list.
void ContinueOrFail(RequestStep& step) {
  RequestState& state = step.state;
  if (!state.attempts.empty()) {
    return;
  }
  const Failure failure = state.last_failure.value_or(MakeFailure(
      ResultCode::kNoEndpointAvailable, "no endpoint took the request"));
  if (state.attempts_started - state.full_refusals >= kMaxAttempts ||
      (state.may_have_run && !state.repeatable)) {
    Fail(step, failure);
    return;
  }
  step.actions.emplace_back(StartAttempt{state.may_have_run});
}

void Apply(RequestStep& step, const AttemptStarted& event) {
  Attempt attempt;
  attempt.dispatch_id = event.dispatch_id;
  attempt.endpoint = event.endpoint;
  attempt.incarnation = event.incarnation;
  attempt.hedge = event.hedge;
  step.state.attempts.push_back(std::move(attempt));
  ++step.state.attempts_started;
}

// Delivers the pieces of the selected attempt that follow without a gap.
void DeliverBufferedPieces(RequestStep& step, Attempt& attempt) {
  RequestState& state = step.state;
  for (auto next = attempt.buffered_pieces.begin();
       next != attempt.buffered_pieces.end() && next->first <= state.delivered;
       next = attempt.buffered_pieces.erase(next)) {
    if (next->first == state.delivered) {
      ++state.delivered;
      state.delivered_text += next->second;
      step.actions.emplace_back(DeliverPiece{std::move(next->second)});
    }
  }
  if (attempt.end && attempt.end->count <= state.delivered) {
    state.ended = true;
    step.actions.emplace_back(FinishComplete{*attempt.end});
    state.attempts.clear();
  }
}

// Selects the first attempt that answers and cancels the others. Pieces of two
// attempts, which may come from two samplings, are never mixed.
void SelectAttempt(RequestStep& step, const DispatchId& dispatch_id) {
  if (step.state.selected_attempt != dispatch_id) {
    step.state.selected_attempt = dispatch_id;
    CancelOthers(step, dispatch_id);
  }
}

void Apply(RequestStep& step, const PieceArrived& event) {
  auto attempt = FindAttempt(step.state, event.dispatch_id);
  if (attempt == step.state.attempts.end() ||
      attempt->incarnation != event.incarnation ||
      event.index < step.state.delivered) {
    return;
  }
  SelectAttempt(step, event.dispatch_id);
  attempt = FindAttempt(step.state, event.dispatch_id);
  attempt->buffered_pieces.emplace(event.index, event.text);
  DeliverBufferedPieces(step, *attempt);
}

void Apply(RequestStep& step, const EndArrived& event) {
  auto attempt = FindAttempt(step.state, event.dispatch_id);
  if (attempt == step.state.attempts.end() ||
      attempt->incarnation != event.incarnation) {
    return;
  }
  SelectAttempt(step, event.dispatch_id);
  attempt = FindAttempt(step.state, event.dispatch_id);
  attempt->end = event.end;
  DeliverBufferedPieces(step, *attempt);
}

void Apply(RequestStep& step, const AttemptFailed& event) {
  RequestState& state = step.state;
  const auto attempt = FindAttempt(state, event.dispatch_id);
  if (attempt == state.attempts.end() ||
      attempt->incarnation != event.incarnation) {
    return;
  }
  state.attempts.erase(attempt);
  if (state.selected_attempt == event.dispatch_id) {
    state.selected_attempt.reset();
  }
  state.last_failure = event.failure;
  if (event.not_run && event.failure.code == ResultCode::kEndpointFull) {
    ++state.full_refusals;
  }
  if (!event.not_run) {
    if (state.keyed && state.delivered == 0 &&
        !ReportsOutcomeOfKey(event.failure)) {
      state.pending_void = event.dispatch_id;
      step.actions.emplace_back(VoidDispatch{event.dispatch_id});
      return;
    }
    state.may_have_run = true;
  }
  ContinueOrFail(step);
}

void Apply(RequestStep& step, const VoidSettled& event) {
  RequestState& state = step.state;
  if (state.pending_void != event.dispatch_id) {
    return;
  }
  state.pending_void.reset();
  state.last_failure = event.failure;
  state.may_have_run = state.may_have_run || !event.never_runs;
  ContinueOrFail(step);
}

void Apply(RequestStep& step, const StoredAnswer& event) {
  RequestState& state = step.state;
  if (state.pending_void != event.dispatch_id) {
    return;
  }
  state.pending_void.reset();
  state.ended = true;
  ++state.delivered;
  state.delivered_text += event.text;
  step.actions.emplace_back(DeliverPiece{event.text});
  step.actions.emplace_back(FinishComplete{event.end});
}

void Apply(RequestStep& step, const NoAttemptPossible& event) {
  // A hedge that finds no endpoint leaves the request to its open attempt.
  if (!step.state.attempts.empty() || step.state.pending_void) {
    return;
  }
  Fail(step, event.failure);
}

void Apply(RequestStep& step, const DeadlinePassed&) {
  RequestState& state = step.state;
  // The open attempts may have run: their agents have not reported otherwise.
  const bool sent =
      state.may_have_run || state.pending_void || !state.attempts.empty();
  state.may_have_run = sent;
  Fail(step, sent ? MakeFailure(ResultCode::kDeadlineExceededAfterSend,
                                "the deadline passed after the request was "
                                "sent to an endpoint")
                  : MakeFailure(ResultCode::kDeadlineTooShort,
                                "the deadline passed before an endpoint took "
                                "the request"));
}

void Apply(RequestStep& step, const CallerDisconnected&) {
  Fail(step, MakeFailure(ResultCode::kCancelledByCaller,
                         "the caller closed its connection"));
}

}  // namespace

RequestStep OnEvent(RequestState state, const RequestEvent& event) {
  RequestStep step{std::move(state), {}};
  if (!step.state.ended) {
    std::visit([&](const auto& typed) { Apply(step, typed); }, event);
  }
  return step;
}

}  // namespace toucanhollow
