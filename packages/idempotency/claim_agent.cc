#include "idempotency/claim_agent.h"

#include <algorithm>
#include <iterator>

#include "idempotency/claim_rate.h"
#include "idempotency/decide_run.h"

namespace toucanhollow {
namespace {

ResultCode GetRefusalCode(ClaimOutcome outcome) {
  switch (outcome) {
    case ClaimOutcome::kConflict:
      return ResultCode::kKeyConflict;
    case ClaimOutcome::kExpired:
      return ResultCode::kKeyExpired;
    case ClaimOutcome::kInFuture:
      return ResultCode::kKeyInFuture;
    case ClaimOutcome::kHeld:
      return ResultCode::kKeyOutcomeUnknown;
    case ClaimOutcome::kWon:
    case ClaimOutcome::kHasResult:
    case ClaimOutcome::kVoided:
    case ClaimOutcome::kReleased:
      break;
  }
  return ResultCode::kDispatchVoided;
}

bool IsClaimOf(const ClaimsRecord& record, const DispatchId& dispatch) {
  const auto* claim = std::get_if<ClaimRecord>(&record);
  return claim != nullptr && claim->dispatch == dispatch;
}

// Removes the dispatch permanently (A2), with its claim if the claim has not
// been sent yet.
ClaimAgent Abandon(ClaimAgent agent, const DispatchId& dispatch) {
  agent.pending.erase(dispatch);
  std::erase_if(agent.queue, [&](const ClaimsRecord& record) {
    return IsClaimOf(record, dispatch);
  });
  return agent;
}

ClaimAgent RemoveExpired(ClaimAgent agent) {
  while (!agent.seen.empty() &&
         agent.seen.begin()->first.first < agent.fold.floor) {
    agent.seen.erase(agent.seen.begin());
  }
  return agent;
}

// Another dispatch of the same key that this incarnation has pending.
const PendingDispatch* FindPendingKey(const ClaimAgent& agent,
                                      const ScopedKey& key) {
  const auto found = std::ranges::find_if(
      agent.pending,
      [&](const auto& entry) { return entry.second.dispatch.key == key; });
  return found == agent.pending.end() ? nullptr : &found->second;
}

// The result of a run of the same request that this incarnation has not read
// back from the log yet; null if there is none. Without it, a retry right after
// the answer, or during an outage of the log, would get "outcome unknown".
const ResultRecord* FindUnloggedResult(const ClaimAgent& agent,
                                       const KeyedDispatch& dispatch) {
  const auto holder = agent.fold.keys.find(dispatch.key);
  if (holder == agent.fold.keys.end() || !holder->second.holder ||
      holder->second.holder->digest != dispatch.digest) {
    return nullptr;
  }
  for (const auto* records : {&agent.queue, &agent.outstanding}) {
    for (const ClaimsRecord& record : *records) {
      const auto* result = std::get_if<ResultRecord>(&record);
      if (result != nullptr && result->whole &&
          result->dispatch == holder->second.holder->dispatch) {
        return result;
      }
    }
  }
  return nullptr;
}

// The code to refuse a dispatch with, for reasons that do not depend on the
// claims in the log.
std::optional<ResultCode> FindEarlyRefusal(const ClaimAgent& agent,
                                           const KeyedDispatch& dispatch,
                                           TimePoint now) {
  if (!agent.log_replayed) {
    return ResultCode::kLogUnavailable;
  }
  if (now >= dispatch.start_by) {
    return ResultCode::kDeadlineTooShort;
  }
  const PendingDispatch* same_key = FindPendingKey(agent, dispatch.key);
  if (same_key != nullptr) {
    return same_key->dispatch.digest == dispatch.digest
               ? ResultCode::kKeyInProgress
               : ResultCode::kKeyConflict;
  }
  if (agent.pending.size() >= kMaxPendingDispatches) {
    return ResultCode::kOverloaded;
  }
  return std::nullopt;
}

void SettleOwnClaim(ClaimStep& step,
                    const SettledClaim& settled,
                    TimePoint now) {
  ClaimAgent& agent = step.agent;
  const ClaimRecord& claim = settled.claim;
  const auto found = agent.pending.find(claim.dispatch);
  const bool waiting = found != agent.pending.end() && !found->second.running;
  if (settled.outcome == ClaimOutcome::kWon) {
    if (waiting && now < found->second.dispatch.start_by) {
      found->second.running = true;
      step.actions.emplace_back(RunDispatch{claim.dispatch});
      return;
    }
    if (waiting) {
      agent = Abandon(std::move(agent), claim.dispatch);
      step.actions.emplace_back(
          RefuseDispatch{claim.dispatch, ResultCode::kDeadlineTooShort});
    }
    ++agent.late_claims_released;
    agent.queue.emplace_back(ReleaseRecord{claim.key, claim.dispatch,
                                           agent.name, agent.incarnation});
    return;
  }
  if (!waiting) {
    return;
  }
  agent = Abandon(std::move(agent), claim.dispatch);
  const auto key = agent.fold.keys.find(claim.key);
  if (settled.outcome == ClaimOutcome::kHasResult &&
      key != agent.fold.keys.end() && key->second.result) {
    const ResultRecord& result = *key->second.result;
    if (result.whole) {
      step.actions.emplace_back(AnswerDispatch{claim.dispatch, result});
    } else {
      step.actions.emplace_back(
          RefuseDispatch{claim.dispatch, ResultCode::kAnswerTruncated});
    }
    return;
  }
  step.actions.emplace_back(
      RefuseDispatch{claim.dispatch, GetRefusalCode(settled.outcome)});
}

// Whether the fold shows that the record need not be appended again.
bool IsSettledInLog(const ClaimFold& fold, const ClaimsRecord& record) {
  if (const auto* release = std::get_if<ReleaseRecord>(&record)) {
    const auto key = fold.keys.find(release->key);
    return key == fold.keys.end() || !key->second.holder ||
           key->second.holder->dispatch != release->dispatch;
  }
  if (const auto* result = std::get_if<ResultRecord>(&record)) {
    const auto key = fold.keys.find(result->key);
    return key == fold.keys.end() || key->second.result.has_value();
  }
  return false;
}

}  // namespace

ClaimAgent MakeClaimAgent(ProcessName name,
                          Incarnation incarnation,
                          int writers,
                          Duration key_memory) {
  ClaimAgent agent;
  agent.name = std::move(name);
  agent.incarnation = incarnation;
  agent.batch_interval = ClaimBatchInterval(writers);
  agent.fold.key_memory = key_memory;
  return agent;
}

ClaimStep ReceiveDispatch(ClaimAgent agent,
                          const KeyedDispatch& dispatch,
                          WallTime wall_now,
                          TimePoint now) {
  ClaimStep step{std::move(agent), {}};
  const auto refuse = [&](ResultCode code) {
    step.actions.emplace_back(RefuseDispatch{dispatch.id, code});
    return std::move(step);
  };
  if (dispatch.receiver != step.agent.incarnation) {
    return refuse(ResultCode::kStaleIncarnation);
  }
  if (!step.agent.seen.try_emplace({dispatch.key.issued, dispatch.id}, true)
           .second) {
    ++step.agent.duplicates;
    return step;
  }
  // The order matters: an answer that is known from the log must not be refused
  // for lack of time or because too many dispatches are pending.
  const RunDecision decision = DecideRun(step.agent.fold, dispatch, wall_now);
  if (step.agent.log_replayed && decision.kind == RunDecision::Kind::kAnswer) {
    step.actions.emplace_back(AnswerDispatch{dispatch.id, decision.result});
    return step;
  }
  if (const ResultRecord* result = FindUnloggedResult(step.agent, dispatch)) {
    step.actions.emplace_back(AnswerDispatch{dispatch.id, *result});
    return step;
  }
  if (const auto code = FindEarlyRefusal(step.agent, dispatch, now)) {
    return refuse(*code);
  }
  // kRun cannot occur: it requires an earlier copy of the dispatch, which the
  // check of `seen` has excluded.
  if (decision.kind != RunDecision::Kind::kClaim) {
    return refuse(decision.kind == RunDecision::Kind::kRun
                      ? ResultCode::kKeyOutcomeUnknown
                      : decision.code);
  }
  step.agent.pending.emplace(dispatch.id, PendingDispatch{dispatch});
  step.agent.queue.emplace_back(ClaimRecord{dispatch.key, dispatch.digest,
                                            dispatch.id, step.agent.name,
                                            step.agent.incarnation});
  return step;
}

ClaimStep ReadClaims(ClaimAgent agent,
                     const ClaimsEntry& entry,
                     TimePoint now) {
  ClaimFoldStep folded = FoldClaim(std::move(agent.fold), entry);
  agent.fold = std::move(folded.fold);
  ClaimStep step{std::move(agent), {}};
  for (const SettledClaim& settled : folded.settled) {
    if (settled.claim.agent == step.agent.name &&
        settled.claim.incarnation == step.agent.incarnation) {
      SettleOwnClaim(step, settled, now);
    }
  }
  step.agent = RemoveExpired(std::move(step.agent));
  return step;
}

ClaimAgent ObserveClaimLogEnd(ClaimAgent agent, LogOffset end) {
  agent.log_replayed = agent.log_replayed || agent.fold.next_offset > end;
  return agent;
}

ClaimStep RecordAppend(ClaimAgent agent, AppendOutcome outcome, TimePoint now) {
  ClaimStep step{std::move(agent), {}};
  ClaimAgent& state = step.agent;
  std::vector<ClaimsRecord> batch = std::move(state.outstanding);
  state.outstanding.clear();
  if (outcome == AppendOutcome::kAcknowledged) {
    return step;
  }
  state.next_batch = now + kClaimRetryDelay;
  std::vector<ClaimsRecord> retried;
  for (ClaimsRecord& record : batch) {
    if (const auto* claim = std::get_if<ClaimRecord>(&record)) {
      // After a lost append the claim may still appear in the log, so its
      // dispatch waits until its start_by. A claim is never appended twice.
      const auto found = state.pending.find(claim->dispatch);
      if (outcome == AppendOutcome::kFailed && found != state.pending.end() &&
          !found->second.running) {
        step.actions.emplace_back(
            RefuseDispatch{claim->dispatch, ResultCode::kLogUnavailable});
        state.pending.erase(found);
      }
    } else {
      retried.push_back(std::move(record));
    }
  }
  retried.insert(retried.end(), std::move_iterator(state.queue.begin()),
                 std::move_iterator(state.queue.end()));
  state.queue = std::move(retried);
  return step;
}

ClaimStep RecordRunEnd(ClaimAgent agent,
                       const DispatchId& dispatch,
                       RunEnd end,
                       int http_status,
                       std::string body) {
  ClaimStep step{std::move(agent), {}};
  const auto found = step.agent.pending.find(dispatch);
  if (found == step.agent.pending.end() || !found->second.running) {
    return step;
  }
  const ScopedKey key = found->second.dispatch.key;
  step.agent.pending.erase(found);
  if (end == RunEnd::kAnswered) {
    ResultRecord result{key, dispatch, http_status, std::move(body)};
    if (result.body.size() > kMaxResultBodyBytes) {
      result.body.clear();
      result.whole = false;
    }
    step.agent.queue.emplace_back(std::move(result));
  } else if (end == RunEnd::kNotRun) {
    step.agent.queue.emplace_back(
        ReleaseRecord{key, dispatch, step.agent.name, step.agent.incarnation});
  }
  return step;
}

ClaimAgent CancelDispatch(ClaimAgent agent, const DispatchId& dispatch) {
  const auto found = agent.pending.find(dispatch);
  if (found == agent.pending.end() || found->second.running) {
    return agent;
  }
  return Abandon(std::move(agent), dispatch);
}

ClaimStep AdvanceClaims(ClaimAgent agent, TimePoint now) {
  ClaimStep step{std::move(agent), {}};
  std::vector<DispatchId> overdue;
  for (const auto& [id, pending] : step.agent.pending) {
    if (!pending.running && now >= pending.dispatch.start_by) {
      overdue.push_back(id);
    }
  }
  for (const DispatchId& id : overdue) {
    step.agent = Abandon(std::move(step.agent), id);
    step.actions.emplace_back(RefuseDispatch{id, ResultCode::kLogUnavailable});
  }
  ClaimAgent& state = step.agent;
  std::erase_if(state.queue, [&](const ClaimsRecord& record) {
    return IsSettledInLog(state.fold, record);
  });
  if (!state.outstanding.empty() || state.queue.empty() ||
      now < state.next_batch) {
    return step;
  }
  const std::size_t count = std::min(state.queue.size(), kMaxClaimBatch);
  const auto end = state.queue.begin() + static_cast<std::ptrdiff_t>(count);
  state.outstanding.assign(state.queue.begin(), end);
  state.queue.erase(state.queue.begin(), end);
  state.next_batch = now + state.batch_interval;
  step.actions.emplace_back(AppendClaims{state.outstanding});
  return step;
}

std::optional<TimePoint> NextClaimWorkTime(const ClaimAgent& agent) {
  std::optional<TimePoint> next;
  const auto consider = [&](TimePoint at) {
    next = next ? std::min(*next, at) : at;
  };
  for (const auto& [id, pending] : agent.pending) {
    if (!pending.running) {
      consider(pending.dispatch.start_by);
    }
  }
  if (agent.outstanding.empty() && !agent.queue.empty()) {
    consider(agent.next_batch);
  }
  return next;
}

}  // namespace toucanhollow
