#include "scenario/entry_host_performer.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "admission/admission_parameters.h"
#include "idempotency/claim_rate.h"
#include "routing/choose_endpoint.h"
#include "scenario/log_follower.h"

namespace toucanhollow {
namespace {

constexpr Duration kWatchInterval = Milliseconds(250);
// Silence after which an agent is taken for lost.
constexpr Duration kSuspectAfter = Seconds(3);
// The front balancer's lag, during which new requests still arrive.
constexpr Duration kBalancerLag = Seconds(2);

Failure Closed(const std::string& agent) {
  return MakeFailure(ResultCode::kOutcomeUnknown,
                     "the link to " + agent + " closed");
}

}  // namespace

EntryHostPerformer::EntryHostPerformer(Site& site,
                                       const NodeSetup& setup,
                                       Incarnation incarnation)
    : site(site), world(site.world), setup(setup), incarnation(incarnation) {
  FollowLog(
      this->world, setup.name, incarnation, "claims",
      [this] { return this->next_claim; },
      [this](const LogRead& read) { this->OnClaimsRead(read); });
  this->world.InProcess(setup.name, incarnation, [this] { this->Watch(); });
}

Sender EntryHostPerformer::Self() const {
  return {this->setup.name, this->incarnation};
}

// Requests.

void EntryHostPerformer::OnRequest(const Action& action) {
  this->world.Reach(Moment::kRequestArrived, this->setup.name);
  Request request;
  request.action = action;
  request.life.id = RequestId{action.subject};
  request.life.repeatable =
      action.request_kind == RequestKind::kIdempotentRead ||
      action.request_kind == RequestKind::kStreamedDraft ||
      this->world.Has(Defect::kRetryNonRepeatable);
  request.life.keyed = action.request_kind == RequestKind::kKeyedCall;
  request.deadline = this->world.Now() + kScenarioDeadline;
  Dispatch& dispatch = request.dispatch;
  dispatch.request_id = request.life.id;
  dispatch.account = AccountName{"account"};
  dispatch.service = ServiceName{action.service};
  dispatch.method = "POST";
  dispatch.path = "/";
  dispatch.body = action.key.empty() ? action.subject : action.key;
  dispatch.repeatable = action.request_kind == RequestKind::kIdempotentRead ||
                        action.request_kind == RequestKind::kStreamedDraft;
  dispatch.stream = action.request_kind == RequestKind::kStreamedDraft;
  if (request.life.keyed) {
    dispatch.idempotency_key = this->site.KeyText(action.key);
  }
  const std::string name = action.subject;
  this->requests[name] = std::move(request);
  this->StartAttemptFor(name, {});
  this->world.InProcessAfter(kScenarioDeadline, this->setup.name,
                             this->incarnation,
                             [=, this] { this->Feed(name, DeadlinePassed{}); });
}

void EntryHostPerformer::Feed(const std::string& name,
                              const RequestEvent& event) {
  Request& request = this->requests.at(name);
  const std::vector<Attempt> before = request.life.attempts;
  RequestStep step = OnEvent(std::move(request.life), event);
  request.life = std::move(step.life);
  RoutingView& view = this->ViewFor(request.action.service);
  for (const Attempt& attempt : before) {
    if (std::ranges::find(request.life.attempts, attempt.dispatch_id,
                          &Attempt::dispatch_id) ==
        request.life.attempts.end()) {
      view = NoteEnded(std::move(view), attempt.endpoint);
    }
  }
  for (const RequestAction& action : step.actions) {
    this->Perform(name, action);
  }
}

void EntryHostPerformer::Perform(const std::string& name,
                                 const RequestAction& action) {
  if (const auto* start = std::get_if<StartAttempt>(&action)) {
    this->StartAttemptFor(name, *start);
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    this->site.SendToAgent(this->Self(), cancel->endpoint.value,
                           Cancel{cancel->dispatch_id});
  } else if (const auto* to_void = std::get_if<VoidDispatch>(&action)) {
    this->Void(name, to_void->dispatch_id);
  } else if (std::holds_alternative<FinishWhole>(action)) {
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
                          this->requests.at(name).life.delivered_text);
  });
}

// Attempts.

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

Result<EndpointName> EntryHostPerformer::Choose(const Request& request) {
  const RoutingView& view = this->ViewFor(request.action.service);
  if (!request.life.keyed) {
    RoutingRequest wanted;
    wanted.excluded = request.excluded;
    const double draw =
        static_cast<double>(this->world.queue.Draw() >> 11) * 0x1p-53;
    const RoutingDecision decision =
        ChooseEndpoint(view, {}, wanted, draw, this->world.Now());
    if (decision.endpoint < 0) {
      return MakeFailure(decision.code, "no endpoint takes the request");
    }
    return view.endpoints[static_cast<std::size_t>(decision.endpoint)].name;
  }
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
      HomeEndpoint(key.value(), untried.empty() ? candidates : untried);
  if (!home) {
    return MakeFailure(ResultCode::kNoEndpointAvailable,
                       "no endpoint of the service is in service");
  }
  return *home;
}

void EntryHostPerformer::StartAttemptFor(const std::string& name,
                                         const StartAttempt&) {
  Request& request = this->requests.at(name);
  const Result<EndpointName> chosen = this->Choose(request);
  if (chosen.has_error()) {
    this->Feed(name, NoAttemptPossible{chosen.error()});
    return;
  }
  const std::string agent = chosen.value().value;
  const Incarnation receiver = this->agents.at(agent).incarnation;
  Dispatch dispatch = request.dispatch;
  dispatch.dispatch_id = DispatchId{this->setup.name + "/" +
                                    std::to_string(this->incarnation.value) +
                                    "/" + std::to_string(++this->dispatches)};
  dispatch.attempt = request.life.attempts_started;
  dispatch.receiver = receiver;
  dispatch.remaining = request.deadline - this->world.Now();
  dispatch.resume_index = request.life.delivered;
  dispatch.resume_text = request.life.delivered_text;
  this->request_of[dispatch.dispatch_id] = name;
  if (request.life.keyed) {
    const Result<ScopedKey> key =
        ParseKey(dispatch.account, dispatch.service, dispatch.idempotency_key);
    this->watches[dispatch.dispatch_id] =
        WatchVoid(key.value(), dispatch.dispatch_id, this->next_claim);
  }
  this->Feed(name, AttemptStarted{dispatch.dispatch_id, chosen.value(),
                                  receiver, false});
  this->world.Reach(Moment::kDispatchSent, this->setup.name);
  RoutingView& view = this->ViewFor(request.action.service);
  view = NoteSent(std::move(view), chosen.value(), this->world.Now());
  this->site.SendToAgent(this->Self(), agent, dispatch);
}

EntryHostPerformer::Request* EntryHostPerformer::Find(const DispatchId& id) {
  const auto found = this->request_of.find(id);
  return found == this->request_of.end() ? nullptr
                                         : &this->requests.at(found->second);
}

void EntryHostPerformer::OnMessage(const Sender& sender,
                                   const Message& message) {
  AgentView& view = this->agents[sender.name];
  if (sender.incarnation < view.incarnation) {
    // A message of an earlier run changes no view but may end an attempt.
  } else {
    if (sender.incarnation != view.incarnation) {
      const Incarnation before = view.incarnation;
      view = {sender.incarnation, this->world.Now()};
      this->FailAttempts(sender.name, before, Closed(sender.name));
    }
    view.last_heard = this->world.Now();
    this->NoteSilence(sender.name, false);
    if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
      LoadReport report;
      report.incarnation = sender.incarnation;
      report.limit = heartbeat->limit;
      report.full_limit = AdmissionParameters{}.full_limit;
      report.load = heartbeat->in_flight + heartbeat->queued;
      report.takes_work = !heartbeat->leaving;
      report.step = heartbeat->step_time;
      RoutingView& routing =
          this->ViewFor(this->site.Setup(sender.name).service);
      routing = ApplyLoadReport(std::move(routing), EndpointName{sender.name},
                                report, this->world.Now());
    }
  }
  if (const auto* token = std::get_if<Token>(&message)) {
    if (this->Find(token->dispatch_id) != nullptr) {
      this->Feed(this->request_of.at(token->dispatch_id),
                 PieceArrived{token->dispatch_id, sender.incarnation,
                              token->index, token->text});
    }
  } else if (const auto* done = std::get_if<Done>(&message)) {
    this->world.Reach(Moment::kAnswerReceived, this->setup.name);
    if (const Request* request = this->Find(done->dispatch_id)) {
      AnswerEnd end{done->count, done->status, done->content_type,
                    done->finish_reason};
      if (this->world.Has(Defect::kTruncatedAsWhole)) {
        end.count = request->life.delivered;
      }
      this->Feed(this->request_of.at(done->dispatch_id),
                 EndArrived{done->dispatch_id, sender.incarnation, end});
    }
  } else if (const auto* refused = std::get_if<Refused>(&message)) {
    if (Request* request = this->Find(refused->dispatch_id)) {
      request->excluded.push_back(EndpointName{sender.name});
      if (refused->code == ResultCode::kEndpointFull) {
        RoutingView& routing = this->ViewFor(request->action.service);
        routing = NoteFull(std::move(routing), EndpointName{sender.name});
      }
      this->Feed(this->request_of.at(refused->dispatch_id),
                 AttemptFailed{
                     refused->dispatch_id, sender.incarnation, refused->not_run,
                     MakeFailure(refused->code, "refused by the agent")});
    }
  } else if (const auto* unknown = std::get_if<OutcomeUnknown>(&message)) {
    if (this->Find(unknown->dispatch_id) != nullptr) {
      this->Feed(
          this->request_of.at(unknown->dispatch_id),
          AttemptFailed{unknown->dispatch_id, sender.incarnation, false,
                        MakeFailure(unknown->code, "the agent cannot tell")});
    }
  }
}

void EntryHostPerformer::OnLinkClosed(const Sender& agent) {
  const auto found = this->agents.find(agent.name);
  if (found != this->agents.end() &&
      found->second.incarnation == agent.incarnation) {
    this->NoteSilence(agent.name, true);
  }
  this->FailAttempts(agent.name, agent.incarnation, Closed(agent.name));
}

void EntryHostPerformer::NoteSilence(const std::string& agent, bool silent) {
  RoutingView& view = this->ViewFor(this->site.Setup(agent).service);
  view = SetSuspected(std::move(view), EndpointName{agent}, silent);
}

void EntryHostPerformer::OnDataCentreRecord(const std::string& data_centre,
                                            bool out) {
  if (this->world.Has(Defect::kIgnoreOut)) {
    return;
  }
  for (const NodeSetup& node : this->site.scenario.nodes) {
    if (!node.service.empty()) {
      RoutingView& view = this->ViewFor(node.service);
      DataCentreView changed = view.data_centres[DataCentreName{data_centre}];
      changed.out = out;
      view = SetDataCentreView(std::move(view), DataCentreName{data_centre},
                               changed);
    }
  }
}

void EntryHostPerformer::FailAttempts(const std::string& agent,
                                      std::optional<Incarnation> incarnation,
                                      const Failure& failure) {
  std::vector<std::pair<std::string, AttemptFailed>> failed;
  for (const auto& [name, request] : this->requests) {
    for (const Attempt& attempt : request.life.attempts) {
      if (attempt.endpoint.value == agent &&
          (!incarnation || attempt.incarnation == *incarnation)) {
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
  for (const auto& [name, view] : this->agents) {
    if (this->world.Now() - view.last_heard > kSuspectAfter) {
      this->NoteSilence(name, true);
      this->FailAttempts(
          name, std::nullopt,
          MakeFailure(ResultCode::kOutcomeUnknown, name + " has been silent"));
    }
  }
  this->world.InProcessAfter(kWatchInterval, this->setup.name,
                             this->incarnation, [this] { this->Watch(); });
}

// Voids.

void EntryHostPerformer::Void(const std::string& name, const DispatchId& id) {
  static_cast<void>(name);
  this->voiding.insert(id);
  this->AppendVoid(id);
  this->SettleVoids();
}

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
          this->world.InProcessAfter(Milliseconds(250), this->setup.name,
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
      watch = FoldForVoid(std::move(watch), decoded);
    }
  }
  this->SettleVoids();
}

void EntryHostPerformer::SettleVoids() {
  const std::set<DispatchId> open = this->voiding;
  for (const DispatchId& id : open) {
    const VoidWatch& watch = this->watches.at(id);
    const DispatchOutcome outcome = OutcomeOf(watch);
    if (outcome == DispatchOutcome::kUndecided) {
      continue;
    }
    this->voiding.erase(id);
    const ResultCode code = outcome == DispatchOutcome::kNotRun
                                ? ResultCode::kDispatchVoided
                                : ResultCode::kOutcomeUnknown;
    this->Feed(this->request_of.at(id),
               VoidSettled{id, outcome == DispatchOutcome::kNotRun,
                           MakeFailure(code, "settled in the log")});
  }
}

// Leaving.

void EntryHostPerformer::ShutDown() {
  this->shutting_down = true;
  this->world.seen.nodes.push_back({.time = this->world.Now(),
                                    .fact = NodeFact::kShutdownStarted,
                                    .node = this->setup.name});
  this->world.Reach(Moment::kShutdownStarted, this->setup.name);
  const auto exit_when_done = [this](const auto& again) -> void {
    const bool busy = std::ranges::any_of(
        this->requests,
        [](const auto& entry) { return !entry.second.life.ended; });
    if (!busy || this->world.Has(Defect::kCutOnShutdown)) {
      this->site.End(this->setup.name, NodeFact::kExited);
      return;
    }
    this->world.InProcessAfter(kWatchInterval, this->setup.name,
                               this->incarnation, [again] { again(again); });
  };
  this->world.InProcessAfter(
      kBalancerLag, this->setup.name, this->incarnation,
      [exit_when_done] { exit_when_done(exit_when_done); });
}

}  // namespace toucanhollow
