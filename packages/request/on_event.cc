#include "request/on_event.h"

#include <algorithm>
#include <utility>

namespace toucanhollow {
namespace {

std::vector<Attempt>::iterator FindAttempt(RequestLife& life,
                                           const DispatchId& dispatch_id) {
  return std::ranges::find(life.attempts, dispatch_id, &Attempt::dispatch_id);
}

// Cancels every open attempt but the one to keep.
void CancelOthers(RequestStep& step, const DispatchId& keep) {
  for (const Attempt& attempt : step.life.attempts) {
    if (attempt.dispatch_id != keep) {
      step.actions.emplace_back(
          CancelAttempt{attempt.dispatch_id, attempt.endpoint});
    }
  }
  std::erase_if(step.life.attempts, [&](const Attempt& attempt) {
    return attempt.dispatch_id != keep;
  });
}

// The code that a caller gets must not claim "not run" if an attempt may
// have run.
Failure TruthfulFailure(const RequestLife& life, Failure failure) {
  if (!life.may_have_run || !IsCertainlyNotRun(failure.code)) {
    return failure;
  }
  return MakeFailure(
      life.delivered > 0 ? ResultCode::kAnswerTruncated
                         : ResultCode::kOutcomeUnknown,
      "an earlier attempt may have run; the last one ended with " +
          FormatFailure(failure));
}

void Fail(RequestStep& step, Failure failure) {
  CancelOthers(step, DispatchId{});
  step.life.ended = true;
  step.actions.emplace_back(
      FinishFailed{TruthfulFailure(step.life, std::move(failure))});
}

// The agent has read in the log that an earlier dispatch of the key may have
// run. A void of this dispatch cannot make "not run" true for the key.
bool TellsOutcomeOfKey(const Failure& failure) {
  return failure.code == ResultCode::kKeyOutcomeUnknown ||
         failure.code == ResultCode::kAnswerTruncated;
}

// An attempt has ended without a whole answer and is no longer listed.
void ContinueOrFail(RequestStep& step) {
  RequestLife& life = step.life;
  if (!life.attempts.empty()) {
    return;
  }
  const Failure failure = life.last_failure.value_or(MakeFailure(
      ResultCode::kNoEndpointAvailable, "no endpoint took the request"));
  if (life.attempts_started - life.full_refusals >= kMaxAttempts ||
      (life.may_have_run && !life.repeatable)) {
    Fail(step, failure);
    return;
  }
  step.actions.emplace_back(StartAttempt{life.may_have_run});
}

void Apply(RequestStep& step, const AttemptStarted& event) {
  Attempt attempt;
  attempt.dispatch_id = event.dispatch_id;
  attempt.endpoint = event.endpoint;
  attempt.incarnation = event.incarnation;
  attempt.hedge = event.hedge;
  step.life.attempts.push_back(std::move(attempt));
  ++step.life.attempts_started;
}

// Delivers what the leading attempt holds without a gap.
void Deliver(RequestStep& step, Attempt& attempt) {
  RequestLife& life = step.life;
  for (auto next = attempt.held.begin();
       next != attempt.held.end() && next->first <= life.delivered;
       next = attempt.held.erase(next)) {
    if (next->first == life.delivered) {
      ++life.delivered;
      life.delivered_text += next->second;
      step.actions.emplace_back(DeliverPiece{std::move(next->second)});
    }
  }
  if (attempt.end && attempt.end->count <= life.delivered) {
    life.ended = true;
    step.actions.emplace_back(FinishWhole{*attempt.end});
    life.attempts.clear();
  }
}

// The first attempt that answers leads; pieces of two attempts, which may
// come from two samplings, are never mixed.
void Lead(RequestStep& step, const DispatchId& dispatch_id) {
  if (step.life.leader != dispatch_id) {
    step.life.leader = dispatch_id;
    CancelOthers(step, dispatch_id);
  }
}

void Apply(RequestStep& step, const PieceArrived& event) {
  auto attempt = FindAttempt(step.life, event.dispatch_id);
  if (attempt == step.life.attempts.end() ||
      attempt->incarnation != event.incarnation ||
      event.index < step.life.delivered) {
    return;
  }
  Lead(step, event.dispatch_id);
  attempt = FindAttempt(step.life, event.dispatch_id);
  attempt->held.emplace(event.index, event.text);
  Deliver(step, *attempt);
}

void Apply(RequestStep& step, const EndArrived& event) {
  auto attempt = FindAttempt(step.life, event.dispatch_id);
  if (attempt == step.life.attempts.end() ||
      attempt->incarnation != event.incarnation) {
    return;
  }
  Lead(step, event.dispatch_id);
  attempt = FindAttempt(step.life, event.dispatch_id);
  attempt->end = event.end;
  Deliver(step, *attempt);
}

void Apply(RequestStep& step, const AttemptFailed& event) {
  RequestLife& life = step.life;
  const auto attempt = FindAttempt(life, event.dispatch_id);
  if (attempt == life.attempts.end() ||
      attempt->incarnation != event.incarnation) {
    return;
  }
  life.attempts.erase(attempt);
  if (life.leader == event.dispatch_id) {
    life.leader.reset();
  }
  life.last_failure = event.failure;
  if (event.not_run && event.failure.code == ResultCode::kEndpointFull) {
    ++life.full_refusals;
  }
  if (!event.not_run) {
    if (life.keyed && life.delivered == 0 &&
        !TellsOutcomeOfKey(event.failure)) {
      life.voiding = event.dispatch_id;
      step.actions.emplace_back(VoidDispatch{event.dispatch_id});
      return;
    }
    life.may_have_run = true;
  }
  ContinueOrFail(step);
}

void Apply(RequestStep& step, const VoidSettled& event) {
  RequestLife& life = step.life;
  if (life.voiding != event.dispatch_id) {
    return;
  }
  life.voiding.reset();
  life.last_failure = event.failure;
  life.may_have_run = life.may_have_run || !event.never_runs;
  ContinueOrFail(step);
}

void Apply(RequestStep& step, const KeptAnswer& event) {
  RequestLife& life = step.life;
  if (life.voiding != event.dispatch_id) {
    return;
  }
  life.voiding.reset();
  life.ended = true;
  ++life.delivered;
  life.delivered_text += event.text;
  step.actions.emplace_back(DeliverPiece{event.text});
  step.actions.emplace_back(FinishWhole{event.end});
}

void Apply(RequestStep& step, const NoAttemptPossible& event) {
  // A hedge that finds no endpoint leaves the request to its open attempt.
  if (!step.life.attempts.empty() || step.life.voiding) {
    return;
  }
  Fail(step, event.failure);
}

void Apply(RequestStep& step, const DeadlinePassed&) {
  RequestLife& life = step.life;
  // The open attempts may have run: their agents have not said otherwise.
  const bool sent = life.may_have_run || life.voiding || !life.attempts.empty();
  life.may_have_run = sent;
  Fail(step, sent ? MakeFailure(ResultCode::kDeadlineExceededAfterSend,
                                "the deadline passed after the request was "
                                "sent to an endpoint")
                  : MakeFailure(ResultCode::kDeadlineTooShort,
                                "the deadline passed before an endpoint took "
                                "the request"));
}

void Apply(RequestStep& step, const CallerLeft&) {
  Fail(step, MakeFailure(ResultCode::kCancelledByCaller,
                         "the caller closed its connection"));
}

}  // namespace

RequestStep OnEvent(RequestLife life, const RequestEvent& event) {
  RequestStep step{std::move(life), {}};
  if (!step.life.ended) {
    std::visit([&](const auto& typed) { Apply(step, typed); }, event);
  }
  return step;
}

}  // namespace toucanhollow
