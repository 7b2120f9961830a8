#include "scenario/agent_performer.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

#include "admission/admit.h"
#include "admission/health.h"
#include "admission/service_state.h"
#include "base/check.h"
#include "scenario/log_follower.h"

namespace toucanhollow {
namespace {

constexpr Duration kReportInterval = Milliseconds(250);
constexpr Duration kHeartbeatInterval = Seconds(1);
// Agents of plain services in a scenario, for the rate of claim batches.
constexpr int kClaimWriters = 3;

bool IsKeyed(const Dispatch& dispatch) {
  return !dispatch.repeatable && !dispatch.idempotency_key.empty();
}

ScopedKey KeyOf(const Dispatch& dispatch) {
  Result<ScopedKey> key =
      ParseKey(dispatch.account, dispatch.service, dispatch.idempotency_key);
  InternalCheck(key.has_value(), "keys of scenarios are well formed");
  return key.value();
}

}  // namespace

AdmissionParameters ScenarioAdmission(const NodeSetup& setup) {
  AdmissionParameters parameters;
  if (setup.kind == NodeKind::kServiceEndpoint) {
    parameters.reports_load = false;
    parameters.first_token_target = Duration{0};
    parameters.step_target = Duration{0};
  }
  return parameters;
}

AgentPerformer::AgentPerformer(Site& site,
                               const NodeSetup& setup,
                               Incarnation incarnation)
    : site(site),
      world(site.world),
      setup(setup),
      incarnation(incarnation),
      endpoint(*site.endpoints.at(setup.name)),
      admission(MakeAdmissionState(ScenarioAdmission(setup),
                                   incarnation,
                                   site.world.Now())),
      claims(
          MakeClaimAgent(ProcessName{setup.name}, incarnation, kClaimWriters)),
      config(site.world, setup.name, incarnation) {
  // Until a record says that it is in service, nothing lets it take work.
  this->admission = SetEndpointOut(std::move(this->admission), true);
  if (this->world.Has(Defect::kStartWarm)) {
    this->admission.limit = this->admission.parameters.full_limit;
    this->admission.admit_after = this->world.Now();
    this->admission.parameters.reports_load = false;
  }
  if (setup.kind == NodeKind::kServiceEndpoint) {
    FollowLog(
        this->world, setup.name, incarnation, "claims",
        [this] { return this->claims.fold.next_offset; },
        [this](const LogRead& read) { this->OnClaimsRead(read); });
  }
  this->world.InProcess(setup.name, incarnation, [this] { this->Beat(); });
  this->world.InProcess(setup.name, incarnation, [this] { this->BeatHeart(); });
}

Sender AgentPerformer::Self() const {
  return {this->setup.name, this->incarnation};
}

void AgentPerformer::Reply(const Sender& to, const Message& message) {
  this->site.Send(this->Self(), to.name, message);
}

// Requests.

void AgentPerformer::OnMessage(const Sender& sender, const Message& message) {
  if (const auto* dispatch = std::get_if<Dispatch>(&message)) {
    this->OnDispatch(sender, *dispatch);
  } else if (const auto* cancel = std::get_if<Cancel>(&message)) {
    this->OnCancel(cancel->dispatch_id);
  } else if (const auto* snapshot = std::get_if<Snapshot>(&message)) {
    if (this->config.Merge(*snapshot)) {
      this->ApplyConfig();
    }
  } else if (std::holds_alternative<SnapshotRequest>(message)) {
    this->Reply(sender, this->config.Take());
  }
}

void AgentPerformer::ApplyConfig() {
  this->admission =
      SetEndpointOut(std::move(this->admission), !this->config.IsReady());
  if (!this->world.Has(Defect::kIgnoreOut)) {
    this->admission = SetDataCentreOut(
        std::move(this->admission), this->config.IsOut(this->setup.data_centre),
        this->world.Now());
  }
  this->TakeWaitingDispatches();
  this->SendHeartbeats();
}

void AgentPerformer::OnLinkClosed(const Sender& entry_host) {
  std::vector<DispatchId> orphans;
  for (const auto& [id, work] : this->open) {
    // What may not be repeated runs to its end, because its result is kept.
    if (work.sender.name == entry_host.name &&
        work.sender.incarnation == entry_host.incarnation &&
        work.dispatch.repeatable) {
      orphans.push_back(id);
    }
  }
  for (const DispatchId& id : orphans) {
    this->OnCancel(id);
  }
}

void AgentPerformer::OnDispatch(const Sender& sender, Dispatch dispatch) {
  this->world.Reach(Moment::kDispatchReceived, this->setup.name);
  if (this->world.Has(Defect::kAcceptOldIncarnation)) {
    dispatch.receiver = this->incarnation;
  }
  DispatchId id = dispatch.dispatch_id;
  if (this->world.Has(Defect::kForgetDispatches) && this->open.contains(id)) {
    id.value += "-copy";
  }
  const Duration remaining =
      dispatch.remaining == Duration{0} ? Duration::max() : dispatch.remaining;
  AdmissionDecision decision =
      Admit(std::move(this->admission),
            {id, dispatch.receiver, ProcessName{sender.name}, remaining},
            this->world.Now());
  this->admission = std::move(decision.state);
  if (this->world.Has(Defect::kAcceptOverLimit) &&
      (decision.code == ResultCode::kEndpointFull ||
       decision.code == ResultCode::kNotReady)) {
    decision.verdict = AdmissionVerdict::kRun;
  }
  if (decision.verdict == AdmissionVerdict::kRefused) {
    // A second copy gets no reply: the first may be running, so a refusal
    // could be read as its outcome.
    if (decision.code != ResultCode::kDuplicateDispatch) {
      this->Reply(sender, Refused{id, decision.code, true, {}});
    }
    return;
  }
  this->open[id] = {.dispatch = std::move(dispatch),
                    .sender = sender,
                    .run = std::nullopt,
                    .started = this->world.Now(),
                    .first_piece = std::nullopt,
                    .pieces = 0};
  if (decision.verdict == AdmissionVerdict::kRun) {
    this->Begin(id);
  }
}

void AgentPerformer::Begin(const DispatchId& id) {
  const Open& work = this->open.at(id);
  const Dispatch& dispatch = work.dispatch;
  if (!IsKeyed(dispatch) || this->world.Has(Defect::kRunBeforeClaim)) {
    this->Run(id);
    return;
  }
  const KeyedDispatch keyed{
      id, KeyOf(dispatch),
      RequestDigest(dispatch.method, dispatch.path, dispatch.body),
      dispatch.receiver, work.started + dispatch.remaining};
  this->Perform(ReceiveDispatch(std::move(this->claims), keyed,
                                this->world.WallNow(), this->world.Now()));
  this->AdvanceClaimsNow();
}

void AgentPerformer::Run(const DispatchId& id) {
  this->world.Reach(Moment::kRunStarted, this->setup.name);
  this->world.InProcess(this->setup.name, this->incarnation, [=, this] {
    const auto found = this->open.find(id);
    if (found == this->open.end()) {
      return;
    }
    Open& work = found->second;
    this->Reply(work.sender, Accepted{work.dispatch.dispatch_id});
    work.started = this->world.Now();
    work.run = this->endpoint.Start(
        {.request = work.dispatch.request_id.value,
         .body = work.dispatch.body,
         .key = work.dispatch.idempotency_key,
         .first_index = static_cast<int>(work.dispatch.resume_index),
         .pieces = PiecesOf(work.dispatch.stream)},
        [=, this](const EndpointPiece& piece) {
          this->world.InProcess(this->setup.name, this->incarnation,
                                [=, this] { this->OnPiece(id, piece); });
        });
  });
}

void AgentPerformer::OnPiece(const DispatchId& id, const EndpointPiece& piece) {
  const auto found = this->open.find(id);
  if (found == this->open.end()) {
    return;
  }
  Open& work = found->second;
  const DispatchId sent_id = work.dispatch.dispatch_id;
  if (!piece.done) {
    work.first_piece = work.first_piece.value_or(this->world.Now());
    ++work.pieces;
    work.dispatch.resume_text += piece.text;
    this->Reply(
        work.sender,
        Token{sent_id, static_cast<std::uint64_t>(piece.index), piece.text});
    return;
  }
  this->world.Reach(Moment::kRunEnded, this->setup.name);
  if (IsKeyed(work.dispatch)) {
    this->Perform(
        RecordRunEnd(std::move(this->claims), id,
                     piece.failed ? RunEnd::kUnknown : RunEnd::kAnswered, 200,
                     work.dispatch.resume_text));
    this->AdvanceClaimsNow();
  }
  const Sender sender = work.sender;
  this->Complete(id, !piece.failed);
  this->world.Reach(Moment::kAnswerSent, this->setup.name);
  if (piece.failed) {
    this->Reply(sender, OutcomeUnknown{sent_id, ResultCode::kOutcomeUnknown,
                                       "the engine ended the run"});
  } else {
    this->Reply(
        sender,
        Done{
            sent_id, static_cast<std::uint64_t>(piece.count), 200, {}, "stop"});
  }
}

void AgentPerformer::Complete(const DispatchId& id, bool answered) {
  const auto found = this->open.find(id);
  const Open& work = found->second;
  CompletionSample sample;
  sample.dispatch = id;
  sample.outcome = !work.run  ? CompletionOutcome::kNotRun
                   : answered ? CompletionOutcome::kAnswered
                              : CompletionOutcome::kError;
  sample.first_token =
      work.first_piece.value_or(this->world.Now()) - work.started;
  if (work.pieces > 1) {
    sample.step = (this->world.Now() - *work.first_piece) / (work.pieces - 1);
  }
  this->admission =
      RecordCompletion(std::move(this->admission), sample, this->world.Now());
  this->open.erase(found);
  this->TakeWaitingDispatches();
}

void AgentPerformer::Refuse(const DispatchId& id,
                            ResultCode code,
                            bool frees_slot) {
  const auto found = this->open.find(id);
  if (found == this->open.end()) {
    return;
  }
  const Sender sender = found->second.sender;
  const DispatchId sent_id = found->second.dispatch.dispatch_id;
  if (frees_slot) {
    this->Complete(id, false);
  } else {
    this->open.erase(found);
  }
  if (IsCertainlyNotRun(code)) {
    this->Reply(sender, Refused{sent_id, code, true, {}});
  } else {
    this->Reply(sender, OutcomeUnknown{sent_id, code, {}});
  }
}

void AgentPerformer::OnCancel(const DispatchId& id) {
  const auto found = this->open.find(id);
  if (found == this->open.end()) {
    return;
  }
  WithdrawDecision withdrawn = WithdrawWaiting(std::move(this->admission), id);
  this->admission = std::move(withdrawn.state);
  if (withdrawn.found) {
    this->open.erase(found);
    return;
  }
  const Open& work = found->second;
  if (!work.run) {
    this->claims = CancelDispatch(std::move(this->claims), id);
    this->Complete(id, false);
    return;
  }
  // A non-repeatable run goes on, so that its result reaches the log.
  if (!work.dispatch.repeatable) {
    return;
  }
  this->endpoint.Cancel(*work.run);
  this->admission = RecordCompletion(
      std::move(this->admission),
      CompletionSample{.dispatch = id,
                       .outcome = CompletionOutcome::kCancelled},
      this->world.Now());
  this->open.erase(found);
  this->TakeWaitingDispatches();
}

void AgentPerformer::TakeWaitingDispatches() {
  WaitingDecision decision =
      StartOrRefuseWaiting(std::move(this->admission), this->world.Now());
  this->admission = std::move(decision.state);
  for (const RefusedDispatch& refused : decision.refused) {
    this->Refuse(refused.dispatch, refused.code, false);
  }
  for (const DispatchId& id : decision.started) {
    if (this->open.contains(id)) {
      this->Begin(id);
    }
  }
}

// Claims.

void AgentPerformer::Perform(ClaimStep step) {
  this->claims = std::move(step.agent);
  for (const ClaimAction& action : step.actions) {
    if (const auto* run = std::get_if<RunDispatch>(&action)) {
      if (this->open.contains(run->dispatch)) {
        this->Run(run->dispatch);
      }
    } else if (const auto* answer = std::get_if<AnswerDispatch>(&action)) {
      const auto found = this->open.find(answer->dispatch);
      if (found != this->open.end()) {
        const Sender sender = found->second.sender;
        const DispatchId sent_id = found->second.dispatch.dispatch_id;
        this->Complete(answer->dispatch, false);
        this->Reply(sender, Token{sent_id, 0, answer->result.body});
        this->Reply(sender,
                    Done{sent_id, 1, answer->result.http_status, {}, {}});
      }
    } else if (const auto* refuse = std::get_if<RefuseDispatch>(&action)) {
      this->Refuse(refuse->dispatch, refuse->code, true);
    } else if (const auto* append = std::get_if<AppendClaims>(&action)) {
      this->Append(append->records);
    }
  }
}

void AgentPerformer::AdvanceClaimsNow() {
  this->Perform(AdvanceClaims(std::move(this->claims), this->world.Now()));
  if (const auto next = NextClaimWorkTime(this->claims)) {
    const Duration wait = std::max(*next - this->world.Now(), Duration{1});
    this->world.InProcessAfter(
        wait, this->setup.name, this->incarnation, [this] {
          const auto due = NextClaimWorkTime(this->claims);
          if (due && *due <= this->world.Now()) {
            this->AdvanceClaimsNow();
          }
        });
  }
}

void AgentPerformer::Append(const std::vector<ClaimsRecord>& records) {
  const bool has_claim = std::ranges::any_of(records, [](const auto& record) {
    return std::holds_alternative<ClaimRecord>(record);
  });
  this->world.Reach(has_claim ? Moment::kClaimSent : Moment::kResultSent,
                    this->setup.name);
  AppendToLog(this->world, this->setup.name, this->incarnation, "claims",
              {this->site.claims.Put(records)},
              [this, has_claim](AppendAnswer answer, LogOffset) {
                if (has_claim) {
                  this->world.Reach(Moment::kClaimAnswered, this->setup.name);
                }
                const AppendOutcome outcome =
                    answer == AppendAnswer::kAcknowledged
                        ? AppendOutcome::kAcknowledged
                    : answer == AppendAnswer::kRefused ? AppendOutcome::kFailed
                                                       : AppendOutcome::kLost;
                this->Perform(RecordAppend(std::move(this->claims), outcome,
                                           this->world.Now()));
                this->AdvanceClaimsNow();
              });
}

void AgentPerformer::OnClaimsRead(const LogRead& read) {
  if (!read.reached) {
    return;
  }
  if (!read.entries.empty()) {
    this->claims.fold =
        ObserveClaimLogRetention(std::move(this->claims.fold),
                                 read.first_offset, read.entries.front().time);
  }
  this->log_end = this->log_end.value_or(read.end);
  for (const LogEntry& entry : read.entries) {
    this->world.Reach(Moment::kClaimRead, this->setup.name);
    this->Perform(ReadClaims(
        std::move(this->claims),
        {entry.offset, entry.time, this->site.claims.Get(entry.payload)},
        this->world.Now()));
  }
  this->claims = ObserveClaimLogEnd(std::move(this->claims), *this->log_end);
  this->AdvanceClaimsNow();
}

// State of service.

void AgentPerformer::Beat() {
  if (this->setup.kind == NodeKind::kEngine &&
      !this->world.Has(Defect::kStartWarm)) {
    const int running = this->endpoint.running();
    this->admission = RecordEngineReport(
        std::move(this->admission),
        EngineReport{this->endpoint.incarnation(), running,
                     running > 0 ? this->endpoint.StepTime() : Duration{0}},
        this->world.Now());
  }
  this->TakeWaitingDispatches();
  this->ExitIfDone();
  this->world.InProcessAfter(kReportInterval, this->setup.name,
                             this->incarnation, [this] { this->Beat(); });
}

void AgentPerformer::SendHeartbeats() {
  const AdmissionSummary summary =
      SummarizeAdmission(this->admission, this->world.Now());
  Heartbeat heartbeat;
  heartbeat.time = this->world.WallNow();
  heartbeat.config_offset = this->config.Offset();
  heartbeat.leaving = this->admission.leaving;
  heartbeat.limit = summary.limit;
  heartbeat.full_limit = summary.full_limit;
  heartbeat.takes_work = summary.takes_work;
  heartbeat.mean_service = summary.mean_service;
  heartbeat.in_flight = summary.in_flight;
  heartbeat.queued = summary.waiting;
  heartbeat.warm = summary.warm;
  heartbeat.step_time = summary.step;
  for (const auto& [name, entry_host] : this->site.entry_hosts) {
    this->site.Send(this->Self(), name, heartbeat);
  }
}

void AgentPerformer::BeatHeart() {
  this->SendHeartbeats();
  this->world.InProcessAfter(kHeartbeatInterval, this->setup.name,
                             this->incarnation, [this] { this->BeatHeart(); });
}

void AgentPerformer::Leave(bool exits) {
  this->drain.terminating = this->drain.terminating || exits;
  this->drain.listed = this->drain.listed || !exits;
  this->world.seen.nodes.push_back({.time = this->world.Now(),
                                    .fact = NodeFact::kLeavingStarted,
                                    .node = this->setup.name});
  this->world.Reach(Moment::kShutdownStarted, this->setup.name);
  if (!this->world.Has(Defect::kIgnoreLeaving)) {
    this->admission =
        SetLeaving(std::move(this->admission), IsLeaving(this->drain));
    this->TakeWaitingDispatches();
  }
  this->world.Reach(Moment::kLeavingSent, this->setup.name);
  this->SendHeartbeats();
}

void AgentPerformer::ExitIfDone() {
  const std::size_t pending = this->open.size() + this->claims.queue.size() +
                              this->claims.outstanding.size();
  if (CanExit(this->drain, static_cast<int>(pending))) {
    this->site.End(this->setup.name, NodeFact::kExited);
  }
}

}  // namespace toucanhollow
