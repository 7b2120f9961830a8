#include "scenario/entry_host_performer.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "config/plan_refresh.h"
#include "idempotency/claim_rate.h"
#include "log_codec/config_codec.h"
#include "routing/choose_endpoint.h"
#include "scenario/log_follower.h"

namespace toucanhollow {
namespace {

constexpr Duration kWatchInterval = Milliseconds(50);
constexpr Duration kHeartbeatInterval = Seconds(1);
// A link without a message for this long closes. Below the deadline of the
// requests, so that lost attempts are voided and repeated within it.
constexpr Duration kLinkSilence = Seconds(3);
// The front balancer's lag, during which new requests still arrive.
constexpr Duration kBalancerLag = Seconds(2);
constexpr Duration kVoidRetry = Milliseconds(250);

Failure Closed(const std::string& agent) {
  return MakeFailure(ResultCode::kOutcomeUnknown,
                     "the link to " + agent + " closed");
}

}  // namespace

EntryHostPerformer::EntryHostPerformer(Site& site,
                                       const NodeSetup& setup,
                                       Incarnation incarnation)
    : site(site),
      world(site.world),
      setup(setup),
      incarnation(incarnation),
      config(site.world, setup.name, incarnation) {
  FollowLog(
      this->world, setup.name, incarnation, "claims",
      [this] { return this->next_claim; },
      [this](const LogRead& read) { this->OnClaimsRead(read); });
  FollowLog(
      this->world, setup.name, incarnation, "config",
      [this] { return this->config.State().next_offset; },
      [this](const LogRead& read) { this->OnConfigRead(read); });
  this->world.InProcess(setup.name, incarnation, [this] { this->Watch(); });
  this->world.InProcess(setup.name, incarnation,
                        [this] { this->SendHeartbeats(); });
}

Sender EntryHostPerformer::Self() const {
  return {this->setup.name, this->incarnation};
}

// Requests.

void EntryHostPerformer::OnRequest(const Action& action) {
  this->world.Reach(Moment::kRequestArrived, this->setup.name);
  const bool idempotent = action.request_kind == RequestKind::kIdempotentRead ||
                          action.request_kind == RequestKind::kStreamedDraft;
  Request request;
  request.action = action;
  request.state.id = RequestId{action.subject};
  request.state.repeatable =
      idempotent || this->world.Has(Defect::kRetryNonRepeatable);
  request.state.keyed = action.request_kind == RequestKind::kKeyedCall;
  request.deadline = this->world.Now() + kScenarioDeadline;
  Dispatch& dispatch = request.dispatch;
  dispatch.request_id = request.state.id;
  dispatch.account = AccountName{"account"};
  dispatch.service = ServiceName{action.service};
  dispatch.method = "POST";
  dispatch.path = "/";
  dispatch.body = action.key.empty() ? action.subject : action.key;
  dispatch.repeatable = idempotent;
  dispatch.stream = action.request_kind == RequestKind::kStreamedDraft;
  if (request.state.keyed) {
    dispatch.idempotency_key = this->site.KeyText(action.key);
  }
  const std::string name = action.subject;
  this->requests[name] = std::move(request);
  this->retry_budget = RecordRequest(this->retry_budget);
  if (!this->config.IsReady() ||
      this->drain.phase >= EntryDrainPhase::kClosed) {
    this->Feed(name, NoAttemptPossible{
                         MakeFailure(ResultCode::kNotReady, "not ready")});
    return;
  }
  this->Queue(name);
  this->world.InProcessAfter(kScenarioDeadline, this->setup.name,
                             this->incarnation,
                             [=, this] { this->Feed(name, DeadlinePassed{}); });
}

void EntryHostPerformer::Feed(const std::string& name,
                              const RequestEvent& event) {
  Request& request = this->requests.at(name);
  const std::vector<Attempt> before = request.state.attempts;
  RequestStep step = OnEvent(std::move(request.state), event);
  request.state = std::move(step.state);
  RoutingView& view = this->ViewFor(request.action.service);
  for (const Attempt& attempt : before) {
    if (std::ranges::find(request.state.attempts, attempt.dispatch_id,
                          &Attempt::dispatch_id) ==
        request.state.attempts.end()) {
      view = RecordDispatchEnded(std::move(view), attempt.endpoint);
    }
  }
  for (const RequestAction& action : step.actions) {
    this->Perform(name, action);
  }
}

void EntryHostPerformer::Perform(const std::string& name,
                                 const RequestAction& action) {
  if (const auto* start = std::get_if<StartAttempt>(&action)) {
    this->Retry(name, start->spends_retry);
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    this->site.Send(this->Self(), cancel->endpoint.value,
                    Cancel{cancel->dispatch_id});
  } else if (const auto* to_void = std::get_if<VoidDispatch>(&action)) {
    this->voiding.insert(to_void->dispatch_id);
    this->AppendVoid(to_void->dispatch_id);
    this->SettleVoids();
  } else if (std::holds_alternative<FinishComplete>(action)) {
    this->Tell(name, CallerOutcome::kAnswered, ResultCode::kAnswered);
  } else if (const auto* failed = std::get_if<FinishFailed>(&action)) {
    const ResultCode code = failed->failure.code;
    this->Tell(name,
               IsCertainlyNotRun(code) ? CallerOutcome::kRefused
                                       : CallerOutcome::kUnknown,
               code);
  }
}

void EntryHostPerformer::Tell(const std::string& name,
                              CallerOutcome outcome,
                              ResultCode code) {
  this->world.InProcess(this->setup.name, this->incarnation, [=, this] {
    this->site.TellCaller(name, outcome, code,
                          this->requests.at(name).state.delivered_text);
  });
}

void EntryHostPerformer::Retry(const std::string& name, bool spends_retry) {
  if (spends_retry && !this->world.Has(Defect::kForgetRetryBudget)) {
    const SpendDecision decision = SpendRetry(this->retry_budget);
    this->retry_budget = decision.budget;
    if (!decision.allowed) {
      this->Feed(name, NoAttemptPossible{MakeFailure(ResultCode::kOverloaded,
                                                     "no retry budget")});
      return;
    }
  }
  if (!this->StartAttemptFor(name)) {
    this->Queue(name);
  }
}

void EntryHostPerformer::Queue(const std::string& name) {
  const Request& request = this->requests.at(name);
  QueuedRequest queued;
  queued.request = request.state.id;
  queued.account = request.dispatch.account;
  queued.deadline = request.deadline;
  FairQueue& queue = this->queues[request.action.service];
  EnqueueDecision decision =
      Enqueue(std::move(queue), queued, this->world.Now());
  queue = std::move(decision.queue);
  for (const QueueRefusal& refusal : decision.refused) {
    this->Feed(refusal.request.value,
               NoAttemptPossible{MakeFailure(refusal.code, "refused early")});
  }
  this->Pump();
}

void EntryHostPerformer::Pump() {
  for (auto& [service, queue] : this->queues) {
    for (;;) {
      DequeueDecision decision = Dequeue(std::move(queue), this->world.Now());
      queue = std::move(decision.queue);
      for (const QueueRefusal& refusal : decision.refused) {
        this->Feed(
            refusal.request.value,
            NoAttemptPossible{MakeFailure(refusal.code, "waited too long")});
      }
      if (!decision.request) {
        break;
      }
      const std::string name = decision.request->request.value;
      if (!this->requests.at(name).state.ended &&
          !this->StartAttemptFor(name)) {
        queue = Requeue(std::move(queue), *decision.request, this->world.Now());
        break;
      }
    }
  }
}

// Attempts.

Result<EntryHostPerformer::Choice> EntryHostPerformer::ChooseHome(
    const Request& request) {
  const RoutingView& view = this->ViewFor(request.action.service);
  // Endpoints that refused are tried again only when none is left.
  std::vector<EndpointName> candidates;
  std::vector<EndpointName> untried;
  for (const EndpointView& endpoint : view.endpoints) {
    if (IsEligible(view, endpoint) && !endpoint.suspected) {
      candidates.push_back(endpoint.name);
      if (std::ranges::find(request.excluded, endpoint.name) ==
          request.excluded.end()) {
        untried.push_back(endpoint.name);
      }
    }
  }
  const Result<ScopedKey> key =
      ParseKey(request.dispatch.account, request.dispatch.service,
               request.dispatch.idempotency_key);
  const auto home =
      ChooseHomeEndpoint(key.value(), untried.empty() ? candidates : untried);
  if (!home) {
    return MakeFailure(ResultCode::kNoEndpointAvailable,
                       "no endpoint of the service is in service");
  }
  const int index = FindEndpoint(view, *home);
  return Choice{
      *home, EstimateFreeSlots(view.endpoints[static_cast<std::size_t>(index)],
                               this->world.Now()) > 0};
}

Result<EntryHostPerformer::Choice> EntryHostPerformer::Choose(
    const Request& request) {
  if (request.state.keyed) {
    return this->ChooseHome(request);
  }
  const RoutingView& view = this->ViewFor(request.action.service);
  RoutingRequest wanted;
  wanted.excluded = request.excluded;
  const double draw =
      static_cast<double>(this->world.queue.Draw() >> 11) * 0x1p-53;
  const RoutingDecision decision =
      ChooseEndpoint(view, {}, wanted, draw, this->world.Now());
  if (decision.endpoint < 0) {
    return MakeFailure(decision.code, "no endpoint takes the request");
  }
  return Choice{
      view.endpoints[static_cast<std::size_t>(decision.endpoint)].name,
      decision.has_free_slot};
}

bool EntryHostPerformer::StartAttemptFor(const std::string& name) {
  Request& request = this->requests.at(name);
  const Result<Choice> chosen = this->Choose(request);
  if (chosen.has_error()) {
    this->Feed(name, NoAttemptPossible{chosen.error()});
    return true;
  }
  if (!chosen.value().has_free_slot) {
    return false;
  }
  const EndpointName endpoint = chosen.value().endpoint;
  const Incarnation receiver =
      this->members.members.at(ProcessName{endpoint.value}).incarnation;
  Dispatch dispatch = request.dispatch;
  dispatch.dispatch_id = DispatchId{this->setup.name + "/" +
                                    std::to_string(this->incarnation.value) +
                                    "/" + std::to_string(++this->dispatches)};
  dispatch.attempt = request.state.attempts_started;
  dispatch.receiver = receiver;
  dispatch.remaining = request.deadline - this->world.Now();
  dispatch.resume_index = request.state.delivered;
  dispatch.resume_text = request.state.delivered_text;
  this->request_of[dispatch.dispatch_id] = name;
  this->last_dispatch[endpoint.value] = dispatch.dispatch_id;
  if (request.state.keyed) {
    const Result<ScopedKey> key =
        ParseKey(dispatch.account, dispatch.service, dispatch.idempotency_key);
    this->watches[dispatch.dispatch_id] =
        MakeVoidWatch(key.value(), dispatch.dispatch_id, this->next_claim);
  }
  this->Feed(name,
             AttemptStarted{dispatch.dispatch_id, endpoint, receiver, false});
  this->world.Reach(Moment::kDispatchSent, this->setup.name);
  RoutingView& view = this->ViewFor(request.action.service);
  view = RecordDispatchSent(std::move(view), endpoint, this->world.Now());
  this->site.Send(this->Self(), endpoint.value, dispatch);
  return true;
}

// Agents.

RoutingView& EntryHostPerformer::ViewFor(const std::string& service) {
  const auto [found, is_new] = this->views.try_emplace(service);
  if (is_new) {
    for (const std::string& data_centre : this->site.scenario.data_centres) {
      const bool here = data_centre == this->setup.data_centre;
      found->second = SetDataCentreView(
          std::move(found->second), DataCentreName{data_centre},
          {.one_way_delay = here ? Duration{100} : Milliseconds(1)});
    }
    for (const NodeSetup& node : this->site.scenario.nodes) {
      if (node.service == service) {
        found->second =
            AddEndpoint(std::move(found->second), EndpointName{node.name},
                        DataCentreName{node.data_centre});
      }
    }
  }
  return found->second;
}

EntryHostPerformer::Request* EntryHostPerformer::Find(const DispatchId& id) {
  const auto found = this->request_of.find(id);
  return found == this->request_of.end() ? nullptr
                                         : &this->requests.at(found->second);
}

void EntryHostPerformer::OnMessage(const Sender& sender,
                                   const Message& message) {
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    this->OnHeartbeatOf(sender, *heartbeat);
  } else if (std::holds_alternative<SnapshotRequest>(message)) {
    this->site.Send(this->Self(), sender.name, this->config.Take());
  } else if (const auto* snapshot = std::get_if<Snapshot>(&message)) {
    if (this->config.Merge(*snapshot)) {
      this->ApplyConfig();
      this->SendSnapshots();
    }
  } else {
    this->OnReply(sender, message);
  }
  this->Pump();
}

void EntryHostPerformer::OnHeartbeatOf(const Sender& sender,
                                       const Heartbeat& heartbeat) {
  const NodeSetup& peer = this->site.Setup(sender.name);
  const bool is_agent = peer.kind != NodeKind::kEntryHost;
  const ProcessName name{sender.name};
  HeartbeatDecision decision = OnHeartbeat(
      std::move(this->members),
      {.sender = name,
       .role = is_agent ? MemberRole::kEndpoint : MemberRole::kEntryHost,
       .data_centre = DataCentreName{peer.data_centre},
       .incarnation = sender.incarnation,
       .leaving = heartbeat.leaving,
       .config_offset = heartbeat.config_offset},
      this->world.Now());
  this->members = std::move(decision.state);
  if (decision.stale) {
    return;
  }
  if (heartbeat.config_offset < this->config.Offset()) {
    this->site.Send(this->Self(), sender.name, this->config.Take());
  }
  if (!is_agent) {
    return;
  }
  if (decision.new_incarnation) {
    this->FailAttempts(
        sender.name,
        [&](const Attempt& attempt) {
          return attempt.incarnation != sender.incarnation;
        },
        Closed(sender.name));
  }
  LoadReport report;
  report.incarnation = sender.incarnation;
  report.limit = heartbeat.limit;
  report.full_limit = heartbeat.full_limit;
  report.load = heartbeat.in_flight + heartbeat.queued;
  report.takes_work =
      heartbeat.takes_work && CanReceiveWork(this->members.members.at(name));
  report.step = heartbeat.step_time;
  report.mean_service = heartbeat.mean_service;
  RoutingView& view = this->ViewFor(peer.service);
  view = ApplyLoadReport(std::move(view), EndpointName{sender.name}, report,
                         this->world.Now());
  view = SetSuspected(std::move(view), EndpointName{sender.name}, false);
}

void EntryHostPerformer::OnReply(const Sender& sender, const Message& message) {
  const auto correlate = [&](const DispatchId& id) {
    const auto last = this->last_dispatch.find(sender.name);
    return this->world.Has(Defect::kIgnoreCorrelation) &&
                   last != this->last_dispatch.end()
               ? last->second
               : id;
  };
  if (const auto* token = std::get_if<Token>(&message)) {
    const DispatchId id = correlate(token->dispatch_id);
    if (this->Find(id) != nullptr) {
      this->Feed(
          this->request_of.at(id),
          PieceArrived{id, sender.incarnation, token->index, token->text});
    }
  } else if (const auto* done = std::get_if<Done>(&message)) {
    this->world.Reach(Moment::kAnswerReceived, this->setup.name);
    const DispatchId id = correlate(done->dispatch_id);
    if (const Request* request = this->Find(id)) {
      AnswerEnd end{done->count, done->status, done->content_type,
                    done->finish_reason};
      if (this->world.Has(Defect::kTruncatedAsWhole)) {
        end.count = request->state.delivered;
      }
      this->Feed(this->request_of.at(id),
                 EndArrived{id, sender.incarnation, end});
    }
  } else if (const auto* refused = std::get_if<Refused>(&message)) {
    if (Request* request = this->Find(refused->dispatch_id)) {
      request->excluded.push_back(EndpointName{sender.name});
      if (refused->code == ResultCode::kEndpointFull) {
        RoutingView& view = this->ViewFor(request->action.service);
        view = RecordFullRefusal(std::move(view), EndpointName{sender.name});
      }
      this->Feed(this->request_of.at(refused->dispatch_id),
                 AttemptFailed{
                     refused->dispatch_id, sender.incarnation, refused->not_run,
                     MakeFailure(refused->code, "refused by the agent")});
    }
  } else if (const auto* unknown = std::get_if<OutcomeUnknown>(&message)) {
    if (Request* request = this->Find(unknown->dispatch_id)) {
      request->excluded.push_back(EndpointName{sender.name});
      this->Feed(
          this->request_of.at(unknown->dispatch_id),
          AttemptFailed{unknown->dispatch_id, sender.incarnation, false,
                        MakeFailure(unknown->code, "the agent cannot tell")});
    }
  }
}

void EntryHostPerformer::OnLinkClosed(const Sender& agent) {
  const auto found = this->members.members.find(ProcessName{agent.name});
  if (found != this->members.members.end() &&
      found->second.incarnation == agent.incarnation) {
    this->members = OnLinkLost(std::move(this->members), found->first);
  }
  this->FailAttempts(
      agent.name,
      [&](const Attempt& attempt) {
        return attempt.incarnation == agent.incarnation;
      },
      Closed(agent.name));
}

void EntryHostPerformer::FailAttempts(
    const std::string& agent,
    const std::function<bool(const Attempt&)>& fails,
    const Failure& failure) {
  std::vector<std::pair<std::string, AttemptFailed>> failed;
  for (auto& [name, request] : this->requests) {
    for (const Attempt& attempt : request.state.attempts) {
      if (attempt.endpoint.value == agent && fails(attempt)) {
        request.excluded.push_back(attempt.endpoint);
        failed.emplace_back(
            name,
            AttemptFailed{attempt.dispatch_id, attempt.incarnation,
                          this->world.Has(Defect::kNotRunAfterSend), failure});
      }
    }
  }
  for (const auto& [name, event] : failed) {
    this->Feed(name, event);
  }
}

void EntryHostPerformer::Watch() {
  const TimePoint now = this->world.Now();
  for (const ProcessName& name : ListSuspectedMembers(this->members, now)) {
    const Member& member = this->members.members.at(name);
    if (member.role != MemberRole::kEndpoint) {
      continue;
    }
    RoutingView& view = this->ViewFor(this->site.Setup(name.value).service);
    view = SetSuspected(std::move(view), EndpointName{name.value}, true);
    if (now - *member.last_heartbeat > kLinkSilence) {
      this->FailAttempts(
          name.value, [](const Attempt&) { return true; },
          MakeFailure(ResultCode::kOutcomeUnknown,
                      name.value + " has been silent"));
    }
  }
  this->Pump();
  this->StepDrain();
  this->world.InProcessAfter(kWatchInterval, this->setup.name,
                             this->incarnation, [this] { this->Watch(); });
}

// Voids.

void EntryHostPerformer::AppendVoid(const DispatchId& id) {
  if (!this->voiding.contains(id)) {
    return;
  }
  this->world.Reach(Moment::kVoidSent, this->setup.name);
  AppendToLog(
      this->world, this->setup.name, this->incarnation, "claims",
      {this->site.claims.Put({VoidRecord{this->watches.at(id).key, id}})},
      [=, this](AppendAnswer answer, LogOffset) {
        if (answer != AppendAnswer::kAcknowledged) {
          this->world.InProcessAfter(kVoidRetry, this->setup.name,
                                     this->incarnation,
                                     [=, this] { this->AppendVoid(id); });
        }
      });
}

void EntryHostPerformer::OnClaimsRead(const LogRead& read) {
  for (const LogEntry& entry : read.entries) {
    if (entry.offset < this->next_claim) {
      continue;
    }
    this->next_claim = entry.offset + 1;
    const ClaimsEntry decoded{entry.offset, entry.time,
                              this->site.claims.Get(entry.payload)};
    for (auto& [id, watch] : this->watches) {
      watch = UpdateVoidWatch(std::move(watch), decoded);
    }
  }
  this->SettleVoids();
}

void EntryHostPerformer::SettleVoids() {
  const std::set<DispatchId> open = this->voiding;
  for (const DispatchId& id : open) {
    const VoidWatch& watch = this->watches.at(id);
    const DispatchOutcome outcome = GetDispatchOutcome(watch);
    if (outcome == DispatchOutcome::kUndecided) {
      continue;
    }
    this->voiding.erase(id);
    if (outcome == DispatchOutcome::kAnswered) {
      this->Feed(this->request_of.at(id),
                 StoredAnswer{id, watch.result->body,
                              AnswerEnd{1, watch.result->http_status, {}, {}}});
      continue;
    }
    const ResultCode code = GetOutcomeCode(watch);
    this->Feed(this->request_of.at(id),
               VoidSettled{id, outcome == DispatchOutcome::kNotRun,
                           MakeFailure(code, "settled in the log")});
  }
}

// Configuration.

void EntryHostPerformer::OnConfigRead(const LogRead& read) {
  this->log_reached = read.reached;
  if (!read.reached) {
    return;
  }
  bool changed = false;
  for (const LogEntry& entry : read.entries) {
    changed = this->config.Fold(entry) || changed;
  }
  this->config_end = read.end;
  this->config.NoteEnd(read.end);
  if (changed) {
    this->ApplyConfig();
    this->SendSnapshots();
  }
}

void EntryHostPerformer::ApplyConfig() {
  if (this->world.Has(Defect::kIgnoreOut)) {
    return;
  }
  for (const NodeSetup& node : this->site.scenario.nodes) {
    if (node.service.empty()) {
      continue;
    }
    RoutingView& view = this->ViewFor(node.service);
    for (const std::string& data_centre : this->site.scenario.data_centres) {
      DataCentreView changed = view.data_centres[DataCentreName{data_centre}];
      changed.out = this->config.IsOut(data_centre);
      view = SetDataCentreView(std::move(view), DataCentreName{data_centre},
                               changed);
    }
  }
}

void EntryHostPerformer::SendSnapshots() {
  for (const NodeSetup& node : this->site.scenario.nodes) {
    if (node.name != this->setup.name) {
      this->site.Send(this->Self(), node.name, this->config.Take());
    }
  }
}

void EntryHostPerformer::SendHeartbeats() {
  this->members = OnTick(std::move(this->members), this->world.Now());
  Heartbeat heartbeat;
  heartbeat.time = this->world.WallNow();
  heartbeat.config_offset = this->config.Offset();
  heartbeat.leaving = this->drain.phase != EntryDrainPhase::kServing;
  for (const auto& [name, peer] : this->site.entry_hosts) {
    if (name != this->setup.name) {
      this->site.Send(this->Self(), name, heartbeat);
    }
  }
  // Offsets alone do not show that earlier records are missing. Agents hold
  // the configuration as well and may be the last that do.
  if (this->config.HasGap() || !this->config.IsReady()) {
    for (const NodeSetup& node : this->site.scenario.nodes) {
      if (node.name != this->setup.name) {
        this->site.Send(this->Self(), node.name, SnapshotRequest{});
      }
    }
  }
  this->Refresh();
  this->world.InProcessAfter(kHeartbeatInterval, this->setup.name,
                             this->incarnation,
                             [this] { this->SendHeartbeats(); });
}

void EntryHostPerformer::Refresh() {
  if (this->site.scenario.log_retention == Duration{0}) {
    return;
  }
  std::vector<ProcessName> hosts;
  for (const NodeSetup& node : this->site.scenario.nodes) {
    if (node.kind == NodeKind::kEntryHost) {
      hosts.push_back(ProcessName{node.name});
    }
  }
  const RefreshPlan plan =
      PlanRefresh(this->config.State(),
                  {.healthy = this->log_reached,
                   .end = this->config_end,
                   .retention = this->site.scenario.log_retention},
                  ProcessName{this->setup.name}, hosts, this->world.WallNow());
  if (!plan.refresh.subjects.empty()) {
    AppendToLog(this->world, this->setup.name, this->incarnation, "config",
                {EncodeRefresh(plan.refresh)}, [](AppendAnswer, LogOffset) {});
  }
}

// Leaving.

void EntryHostPerformer::ShutDown() {
  this->world.seen.nodes.push_back({.time = this->world.Now(),
                                    .fact = NodeFact::kShutdownStarted,
                                    .node = this->setup.name});
  this->world.Reach(Moment::kShutdownStarted, this->setup.name);
  this->drain = BeginEntryDrain(this->drain, kBalancerLag, this->world.Now());
}

void EntryHostPerformer::StepDrain() {
  const auto busy = std::ranges::count_if(
      this->requests,
      [](const auto& entry) { return !entry.second.state.ended; });
  const int in_flight =
      this->world.Has(Defect::kCutOnShutdown) ? 0 : static_cast<int>(busy);
  this->drain = AdvanceEntryDrain(this->drain, in_flight, this->world.Now());
  if (this->drain.phase == EntryDrainPhase::kExit) {
    this->site.End(this->setup.name, NodeFact::kExited);
  }
}

}  // namespace toucanhollow
