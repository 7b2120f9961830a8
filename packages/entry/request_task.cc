#include "entry/request_task.h"

#include <algorithm>
#include <utility>

#include "caller_api/write_answer.h"
#include "engine_api/cache_event.h"
#include "engine_api/engine_codec.h"
#include "idempotency/claim_rate.h"
#include "idempotency/idempotency_key.h"

namespace toucanhollow {
namespace {

// A caller that leaves this much of its stream unread is given up, so that
// slow callers cannot hold the memory of an entry host.
constexpr std::size_t kMaxUnreadBytes = std::size_t{1} << 20;
// Expected tokens of an answer whose caller gave no bound.
constexpr int kExpectedTokens = 128;
// An endpoint that refused or failed an attempt is left out of the request's
// next attempts for this time; it may be the only one, and come back.
constexpr Duration kExclusion = Milliseconds(500);
// Deadlines and the state of endpoints also change without an event.
constexpr Duration kPumpInterval = Milliseconds(20);
// Queued requests wait this long for an endpoint that takes work, as while an
// agent is replaced, and are refused then.
constexpr Duration kNoEndpointWait = Seconds(2);

Priority ToPriority(int priority) {
  return priority > 0 ? Priority::kHigh : Priority::kLow;
}

}  // namespace

struct RequestTask::Open {
  RequestLife life;
  CallerRequest caller;
  AnswerIdentity identity;
  std::shared_ptr<HttpResponseWriter> writer;
  // The groups of the model, or the plain service.
  std::vector<ServiceName> services;
  // Names the queue.
  std::string queue;
  std::optional<ScopedKey> key;
  // Where voids are read from.
  LogOffset claims_from = 0;
  // Hashes as engines report them in their cache events.
  std::vector<BlockHash> blocks;
  int prompt_tokens = 0;
  TimePoint accepted_at;
  TimePoint deadline;
  std::unique_ptr<Timer> deadline_timer;
  std::unique_ptr<Timer> hedge_timer;
  int hedges_sent = 0;
  // Endpoints that refused or failed an attempt, and when.
  std::map<EndpointName, TimePoint> excluded;
  bool spends_retry = false;
  bool queued = false;
  bool head_sent = false;
  bool first_piece = false;
  bool closed = false;
};

RequestTask::RequestTask(ProcessContext& process_context,
                         EndpointLinks& endpoint_links,
                         VoidTask& void_task,
                         const ConfigView& config_view)
    : context(process_context),
      links(endpoint_links),
      voids(void_task),
      view(config_view) {
  this->pump_timer =
      std::make_unique<Timer>(this->context.loop, kPumpInterval, kPumpInterval,
                              [this] { this->Pump(); });
}

RequestTask::~RequestTask() = default;

std::size_t RequestTask::OpenRequests() const {
  return this->requests.size();
}

std::size_t RequestTask::QueuedRequests() const {
  std::size_t sum = 0;
  for (const auto& [name, queue] : this->queues) {
    sum += static_cast<std::size_t>(queue.queue.size);
  }
  return sum;
}

RequestTask::Open* RequestTask::FindOpen(const RequestId& id) {
  const auto found = this->requests.find(id);
  return found == this->requests.end() || found->second->closed
             ? nullptr
             : found->second.get();
}

void RequestTask::RecordEvent(const Open& open,
                              EventKind kind,
                              const Failure* failure,
                              const DispatchId* dispatch_id,
                              const EndpointName* endpoint) {
  Event event;
  event.kind = kind;
  event.request = open.life.id;
  if (failure != nullptr) {
    event.code = static_cast<int>(failure->code);
    event.detail = failure->detail;
  }
  if (dispatch_id != nullptr) {
    event.dispatch = *dispatch_id;
  }
  if (endpoint != nullptr) {
    event.endpoint = *endpoint;
  }
  this->context.Record(std::move(event));
}

void RequestTask::Accept(CallerRequest request,
                         std::shared_ptr<HttpResponseWriter> writer) {
  auto owned = std::make_unique<Open>();
  Open& open = *owned;
  open.life.id.value = this->context.settings.process.value + "." +
                       std::to_string(this->context.incarnation.value) + "." +
                       std::to_string(++this->accepted);
  open.accepted_at = EventLoop::Now();
  const Duration allowed = request.deadline > Duration(0)
                               ? request.deadline
                               : this->context.settings.limits.default_deadline;
  open.deadline = open.accepted_at + allowed;
  open.identity = AnswerIdentity{request.form, open.life.id, request.service,
                                 EventLoop::WallNow()};
  open.caller = std::move(request);
  open.writer = std::move(writer);
  const RequestId id = open.life.id;
  this->requests.emplace(id, std::move(owned));
  this->context.metrics.Count("requests_accepted");
  Event event;
  event.kind = EventKind::kRequestAccepted;
  event.request = id;
  event.subject = open.caller.service.value;
  event.detail = "account " + open.caller.account.value;
  this->context.Record(std::move(event));

  open.writer->OnCallerDisconnected([this, id] {
    if (Open* found = this->FindOpen(id)) {
      this->Apply(*found, CallerLeft{});
    }
  });
  const Result<bool> resolved = this->Resolve(open);
  if (!resolved) {
    this->Apply(open, NoAttemptPossible{resolved.error()});
    return;
  }
  open.deadline_timer = std::make_unique<Timer>(
      this->context.loop, allowed, Duration(0), [this, id] {
        if (Open* found = this->FindOpen(id)) {
          this->Apply(*found, DeadlinePassed{});
        }
      });
  this->retry_budget = RecordRequest(this->retry_budget);
  this->Enqueue(open, false);
}

// Finds the services of the request and whether it may be repeated. Codes:
// kNotReady, kUnknownService, kAccountNotServed, kKeyMalformed,
// kLogUnavailable.
Result<bool> RequestTask::Resolve(Open& open) {
  if (!this->view.ready) {
    return MakeFailure(ResultCode::kNotReady,
                       "the configuration is not known yet");
  }
  const CallerRequest& caller = open.caller;
  open.queue = caller.service.value;
  if (caller.form == AnswerForm::kPlain) {
    return this->ResolvePlain(open);
  }
  open.blocks = PromptBlocks(caller.prompt);
  open.prompt_tokens = static_cast<int>(CountPromptTokens(caller.prompt));
  open.services =
      GroupsOfModel(this->view, caller.service.value, caller.account);
  if (!open.services.empty()) {
    return true;
  }
  const bool known =
      std::ranges::any_of(this->view.services, [&](const auto& entry) {
        return entry.second.group &&
               entry.second.group->model == caller.service.value;
      });
  return known ? MakeFailure(ResultCode::kAccountNotServed,
                             "no record lets account '" + caller.account.value +
                                 "' use model '" + caller.service.value + "'")
               : MakeFailure(
                     ResultCode::kUnknownService,
                     "no model '" + caller.service.value + "' is configured");
}

Result<bool> RequestTask::ResolvePlain(Open& open) {
  const CallerRequest& caller = open.caller;
  const auto service = this->view.services.find(caller.service);
  if (service == this->view.services.end() || !service->second.plain) {
    return MakeFailure(
        ResultCode::kUnknownService,
        "no plain service '" + caller.service.value + "' is configured");
  }
  if (ShareOf(this->view, caller.service, caller.account) <= 0) {
    return MakeFailure(ResultCode::kAccountNotServed,
                       "no record lets account '" + caller.account.value +
                           "' use service '" + caller.service.value + "'");
  }
  open.services = {caller.service};
  open.life.repeatable =
      caller.repeatable ||
      IsRepeatable(service->second, caller.method, caller.path);
  if (open.life.repeatable || caller.idempotency_key.empty()) {
    return true;
  }
  const Result<ScopedKey> key =
      ParseKey(caller.account, caller.service, caller.idempotency_key);
  if (!key) {
    return key.error();
  }
  const std::optional<LogOffset> end = this->voids.ClaimsEnd();
  if (!end) {
    return MakeFailure(ResultCode::kLogUnavailable,
                       "the log has not been reached since the start");
  }
  open.key = key.value();
  open.life.keyed = true;
  open.claims_from = *end;
  return true;
}

void RequestTask::Enqueue(Open& open, bool at_head) {
  const TimePoint now = EventLoop::Now();
  ServiceQueue& service = this->queues[open.queue];
  QueuedRequest queued;
  queued.request = open.life.id;
  queued.account = open.caller.account;
  queued.priority = ToPriority(open.caller.priority);
  queued.cost = open.caller.form == AnswerForm::kPlain
                    ? 1
                    : open.caller.max_tokens.value_or(kExpectedTokens);
  queued.deadline = open.deadline;
  queued.expected_service = this->links.MeanService(open.services);
  open.queued = true;
  if (at_head) {
    service.queue = PutBack(std::move(service.queue), std::move(queued), now);
  } else {
    service.queue.parameters.account_limit =
        static_cast<int>(this->context.settings.limits.account_queue);
    service.queue =
        SetWeight(std::move(service.queue), open.caller.account,
                  std::max(1e-3, ShareOf(this->view, open.services.front(),
                                         open.caller.account)));
    EnqueueDecision decision =
        toucanhollow::Enqueue(std::move(service.queue), std::move(queued), now);
    service.queue = std::move(decision.queue);
    for (const QueueRefusal& refusal : decision.refused) {
      this->RefuseQueued(refusal.request, refusal.code);
    }
  }
  this->PumpQueue(service);
}

void RequestTask::RefuseQueued(const RequestId& id, ResultCode code) {
  if (Open* open = this->FindOpen(id)) {
    open->queued = false;
    this->Apply(*open, NoAttemptPossible{MakeFailure(code, "")});
  }
}

void RequestTask::PumpSoon() {
  if (!std::exchange(this->pump_posted, true)) {
    Post(this->context.loop, [this] {
      this->pump_posted = false;
      this->Pump();
    });
  }
}

void RequestTask::Pump() {
  for (auto& [name, queue] : this->queues) {
    this->PumpQueue(queue);
  }
}

void RequestTask::PumpQueue(ServiceQueue& service) {
  const TimePoint now = EventLoop::Now();
  while (service.queue.size > 0) {
    DequeueDecision decision = Dequeue(std::move(service.queue), now);
    service.queue = std::move(decision.queue);
    for (const QueueRefusal& refusal : decision.refused) {
      this->RefuseQueued(refusal.request, refusal.code);
    }
    if (!decision.request) {
      return;
    }
    Open* open = this->FindOpen(decision.request->request);
    if (open == nullptr) {
      continue;
    }
    const Result<ChosenAgent> chosen = this->Choose(*open, nullptr);
    if (chosen) {
      service.without_endpoint_since.reset();
      open->queued = false;
      this->SendAttempt(*open, chosen.value(), false);
      continue;
    }
    service.queue =
        PutBack(std::move(service.queue), *std::move(decision.request), now);
    if (chosen.error().code == ResultCode::kEndpointFull) {
      service.without_endpoint_since.reset();
      return;
    }
    if (!service.without_endpoint_since) {
      service.without_endpoint_since = now;
    }
    if (now - *service.without_endpoint_since >= kNoEndpointWait) {
      this->RefuseAll(service, chosen.error());
    }
    return;
  }
  service.without_endpoint_since.reset();
}

void RequestTask::RefuseAll(ServiceQueue& service, const Failure& failure) {
  service.without_endpoint_since.reset();
  std::vector<RequestId> waiting;
  for (const AccountQueue& account : service.queue.accounts) {
    for (const auto* queue : {&account.high, &account.low}) {
      for (const QueuedRequest& queued : *queue) {
        waiting.push_back(queued.request);
      }
    }
  }
  for (const RequestId& id : waiting) {
    if (Open* open = this->FindOpen(id)) {
      this->Apply(*open, NoAttemptPossible{failure});
    }
  }
}

// `besides` is an endpoint that has an attempt of the request already.
Result<ChosenAgent> RequestTask::Choose(const Open& open,
                                        const AgentRun* besides) {
  const TimePoint now = EventLoop::Now();
  std::vector<EndpointName> excluded;
  for (const auto& [endpoint, since] : open.excluded) {
    if (now - since < kExclusion) {
      excluded.push_back(endpoint);
    }
  }
  if (besides != nullptr) {
    excluded.push_back(besides->endpoint);
  }
  if (open.key) {
    // All dispatches of a key go to its home, where the agent joins repeats.
    std::vector<EndpointName> eligible =
        this->links.Eligible(open.services.front());
    std::erase_if(eligible, [&](const EndpointName& name) {
      return std::ranges::find(excluded, name) != excluded.end();
    });
    const auto home = HomeEndpoint(*open.key, eligible);
    if (!home) {
      return MakeFailure(ResultCode::kNoEndpointAvailable,
                         "no endpoint in service takes work now");
    }
    return this->links.ChooseNamed(open.services.front(), *home);
  }
  RoutingRequest request;
  std::vector<PrefixMatch> matches;
  if (open.caller.form != AnswerForm::kPlain) {
    matches = MatchPrefix(this->prefixes, open.blocks, now);
    request.prompt_tokens = open.prompt_tokens;
    request.expected_output_tokens =
        open.caller.max_tokens.value_or(kExpectedTokens);
  }
  request.matches = matches;
  request.excluded = excluded;
  return this->links.Choose(open.services, request);
}

Dispatch RequestTask::MakeDispatch(const Open& open,
                                   const ChosenAgent& chosen) const {
  Dispatch dispatch;
  dispatch.attempt = open.life.attempts_started + 1;
  // The request's identifier holds the incarnation, so that no later run of
  // this entry host gives out the same one.
  dispatch.dispatch_id.value =
      open.life.id.value + "." + std::to_string(dispatch.attempt);
  dispatch.request_id = open.life.id;
  dispatch.receiver = chosen.run.incarnation;
  dispatch.account = open.caller.account;
  dispatch.service = chosen.service;
  dispatch.path = open.caller.path;
  if (open.caller.form == AnswerForm::kPlain) {
    dispatch.method = open.caller.method;
    dispatch.content_type = open.caller.content_type;
    dispatch.body = open.caller.body;
  } else {
    dispatch.model = open.caller.service.value;
    dispatch.body = open.caller.prompt;
  }
  dispatch.max_tokens = open.caller.max_tokens.value_or(0);
  dispatch.priority = open.caller.priority;
  dispatch.remaining =
      std::max(Milliseconds(1), open.deadline - EventLoop::Now());
  if (open.key) {
    dispatch.idempotency_key = open.caller.idempotency_key;
  }
  dispatch.repeatable = open.life.repeatable;
  dispatch.stream = open.caller.stream;
  dispatch.resume_index = open.life.delivered;
  dispatch.resume_text = open.life.delivered_text;
  dispatch.config_offset = this->view.as_of;
  return dispatch;
}

void RequestTask::SendAttempt(Open& open,
                              const ChosenAgent& chosen,
                              bool hedge) {
  const Dispatch dispatch = this->MakeDispatch(open, chosen);
  const EventKind kind =
      hedge ? EventKind::kHedged
            : (open.life.delivered > 0
                   ? EventKind::kResumed
                   : (dispatch.attempt > 1 ? EventKind::kRetried
                                           : EventKind::kDispatched));
  this->RecordEvent(open, kind, nullptr, &dispatch.dispatch_id,
                    &chosen.run.endpoint);
  this->dispatches.emplace(dispatch.dispatch_id,
                           OpenDispatch{open.life.id, chosen.run});
  this->Apply(open, AttemptStarted{dispatch.dispatch_id, chosen.run.endpoint,
                                   chosen.run.incarnation, hedge});
  if (!this->links.Send(chosen.run, dispatch)) {
    this->dispatches.erase(dispatch.dispatch_id);
    open.excluded[chosen.run.endpoint] = EventLoop::Now();
    this->Apply(
        open,
        AttemptFailed{dispatch.dispatch_id, chosen.run.incarnation, true,
                      MakeFailure(ResultCode::kNoEndpointAvailable,
                                  "the link to " + chosen.run.endpoint.value +
                                      " takes nothing now")});
    return;
  }
  if (!open.blocks.empty()) {
    this->prefixes =
        RecordPrompt(std::move(this->prefixes), chosen.run.endpoint,
                     open.blocks, EventLoop::Now());
  }
  if (!hedge) {
    this->StartHedgeTimer(open);
  }
}

void RequestTask::StartHedgeTimer(Open& open) {
  const bool idempotent_read =
      open.caller.form == AnswerForm::kPlain && open.caller.repeatable;
  if (!idempotent_read || open.life.attempts_started != 1) {
    return;
  }
  this->hedges = RecordIdempotentRequest(this->hedges);
  const auto delay = HedgeDelay(this->hedges);
  if (!delay) {
    return;
  }
  open.hedge_timer = std::make_unique<Timer>(
      this->context.loop, *delay, Duration(0), [this, id = open.life.id] {
        if (Open* found = this->FindOpen(id)) {
          this->Hedge(*found);
        }
      });
}

void RequestTask::Hedge(Open& open) {
  if (open.life.attempts.size() != 1) {
    return;
  }
  HedgeRequest request;
  request.idempotent = true;
  request.unanswered = !open.first_piece;
  request.hedges_sent = open.hedges_sent;
  request.elapsed = EventLoop::Now() - open.accepted_at;
  const HedgeDecision decision = ShouldHedge(this->hedges, request);
  const Attempt& attempt = open.life.attempts.front();
  const AgentRun besides{attempt.endpoint, attempt.incarnation};
  const Result<ChosenAgent> chosen = this->Choose(open, &besides);
  if (!decision.hedge || !chosen) {
    return;
  }
  this->hedges = decision.state;
  ++open.hedges_sent;
  this->context.metrics.Count("hedges_sent");
  this->SendAttempt(open, chosen.value(), true);
}

void RequestTask::Apply(Open& open, const RequestEvent& event) {
  RequestStep step = toucanhollow::OnEvent(std::move(open.life), event);
  open.life = std::move(step.life);
  for (const RequestAction& action : step.actions) {
    this->Perform(open, action);
  }
  if (open.life.ended && !open.closed) {
    this->Close(open);
  }
}

void RequestTask::Perform(Open& open, const RequestAction& action) {
  if (const auto* piece = std::get_if<DeliverPiece>(&action)) {
    this->Deliver(open, piece->text);
  } else if (const auto* start = std::get_if<StartAttempt>(&action)) {
    // Later, because starting an attempt applies events itself.
    Post(this->context.loop, [this, id = open.life.id, start = *start] {
      if (Open* found = this->FindOpen(id)) {
        this->StartAgain(*found, start);
      }
    });
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    const auto found = this->dispatches.find(cancel->dispatch_id);
    if (found != this->dispatches.end()) {
      this->links.Send(found->second.agent, Cancel{cancel->dispatch_id});
      this->EndDispatch(cancel->dispatch_id);
    }
  } else if (const auto* lost = std::get_if<VoidDispatch>(&action)) {
    this->StartVoid(open, lost->dispatch_id);
  } else if (const auto* whole = std::get_if<FinishWhole>(&action)) {
    this->FinishAnswer(open, whole->end);
  } else if (const auto* failed = std::get_if<FinishFailed>(&action)) {
    this->FinishFailure(open, failed->failure);
  }
}

void RequestTask::StartAgain(Open& open, const StartAttempt& action) {
  if (action.spends_retry) {
    const SpendDecision decision = SpendRetry(this->retry_budget);
    this->retry_budget = decision.budget;
    if (!decision.allowed) {
      this->context.metrics.Count("retries_over_budget");
      this->Apply(open,
                  NoAttemptPossible{MakeFailure(ResultCode::kOverloaded,
                                                "the retry budget is spent")});
      return;
    }
    this->context.metrics.Count("retries_sent");
  }
  this->Enqueue(open, true);
}

void RequestTask::StartVoid(Open& open, const DispatchId& dispatch_id) {
  this->RecordEvent(open, EventKind::kVoided, nullptr, &dispatch_id);
  this->voids.Void(*open.key, dispatch_id, open.claims_from);
}

void RequestTask::OnVoidSettled(const VoidWatch& watch) {
  for (auto& [id, open] : this->requests) {
    if (open->closed || open->life.voiding != watch.dispatch) {
      continue;
    }
    const DispatchOutcome outcome = OutcomeOf(watch);
    if (outcome == DispatchOutcome::kAnswered && watch.result &&
        watch.result->whole) {
      this->Apply(*open, KeptAnswer{watch.dispatch,
                                    watch.result->body,
                                    {1, watch.result->http_status, "", ""}});
      return;
    }
    const ResultCode code = outcome == DispatchOutcome::kAnswered
                                ? ResultCode::kAnswerTruncated
                                : StateOutcome(watch);
    this->Apply(*open,
                VoidSettled{watch.dispatch, outcome == DispatchOutcome::kNotRun,
                            MakeFailure(code, "")});
    return;
  }
}

void RequestTask::EndDispatch(const DispatchId& dispatch_id) {
  const auto found = this->dispatches.find(dispatch_id);
  if (found == this->dispatches.end()) {
    return;
  }
  const AgentRun agent = found->second.agent;
  this->dispatches.erase(found);
  this->links.NoteEnded(agent);
}

void RequestTask::FailAttempt(const AgentRun& agent,
                              const DispatchId& dispatch_id,
                              bool not_run,
                              Failure failure) {
  const auto found = this->dispatches.find(dispatch_id);
  if (found == this->dispatches.end() || found->second.agent != agent) {
    this->context.metrics.Count("messages_of_ended_dispatches");
    return;
  }
  const RequestId request = found->second.request;
  if (failure.code == ResultCode::kEndpointFull) {
    this->links.NoteFull(agent);
  }
  this->EndDispatch(dispatch_id);
  Open* open = this->FindOpen(request);
  if (open == nullptr) {
    return;
  }
  if (failure.code != ResultCode::kEndpointFull) {
    open->excluded[agent.endpoint] = EventLoop::Now();
  }
  this->context.metrics.Count(
      "attempts_failed",
      "code=\"" + std::to_string(static_cast<int>(failure.code)) + "\"");
  this->Apply(*open, AttemptFailed{dispatch_id, agent.incarnation, not_run,
                                   std::move(failure)});
}

void RequestTask::OnMessage(const AgentRun& agent, Message message) {
  const auto find_open = [&](const DispatchId& dispatch_id) -> Open* {
    const auto dispatch = this->dispatches.find(dispatch_id);
    if (dispatch == this->dispatches.end() || dispatch->second.agent != agent) {
      this->context.metrics.Count("messages_of_ended_dispatches");
      return nullptr;
    }
    return this->FindOpen(dispatch->second.request);
  };
  if (const auto* notice = std::get_if<CacheNotice>(&message)) {
    this->OnCacheNotice(*notice);
  } else if (auto* token = std::get_if<Token>(&message)) {
    if (Open* open = find_open(token->dispatch_id)) {
      this->Apply(*open, PieceArrived{token->dispatch_id, agent.incarnation,
                                      token->index, std::move(token->text)});
    }
  } else if (auto* done = std::get_if<Done>(&message)) {
    if (Open* open = find_open(done->dispatch_id)) {
      this->Apply(*open, EndArrived{done->dispatch_id, agent.incarnation,
                                    AnswerEnd{done->count, done->status,
                                              std::move(done->content_type),
                                              std::move(done->finish_reason)}});
    }
  } else if (auto* refused = std::get_if<Refused>(&message)) {
    this->FailAttempt(agent, refused->dispatch_id, refused->not_run,
                      {refused->code, std::move(refused->detail)});
  } else if (auto* unknown = std::get_if<OutcomeUnknown>(&message)) {
    this->FailAttempt(agent, unknown->dispatch_id, false,
                      {unknown->code, std::move(unknown->detail)});
  }
}

void RequestTask::OnCacheNotice(const CacheNotice& notice) {
  const std::optional<EngineCacheEvents> decoded =
      DecodeCacheEvents(notice.events);
  if (!decoded) {
    this->context.metrics.Count("cache_notices_malformed");
    return;
  }
  const TimePoint now = EventLoop::Now();
  for (const EngineCacheEvent& event : decoded->events) {
    CacheEvent change;
    change.endpoint = notice.endpoint;
    change.engine = Incarnation{decoded->incarnation};
    change.sequence = static_cast<std::uint64_t>(event.sequence);
    change.kind =
        event.stored ? CacheEvent::Kind::kStored : CacheEvent::Kind::kRemoved;
    change.blocks = {event.block};
    this->prefixes = ApplyCacheEvent(std::move(this->prefixes), change, now);
  }
  this->context.metrics.Count("cache_events", "", decoded->events.size());
}

void RequestTask::OnLost(const AgentRun& agent) {
  std::vector<DispatchId> lost;
  for (const auto& [dispatch_id, dispatch] : this->dispatches) {
    if (dispatch.agent == agent) {
      lost.push_back(dispatch_id);
    }
  }
  for (const DispatchId& dispatch_id : lost) {
    this->FailAttempt(
        agent, dispatch_id, false,
        MakeFailure(ResultCode::kOutcomeUnknown,
                    "the link to " + agent.endpoint.value + " closed"));
  }
}

void RequestTask::Deliver(Open& open, const std::string& text) {
  if (!std::exchange(open.first_piece, true)) {
    const Duration elapsed = EventLoop::Now() - open.accepted_at;
    this->context.metrics.Observe("first_piece_ms", ToMilliseconds(elapsed));
    this->RecordEvent(open, EventKind::kFirstToken);
    if (open.caller.form == AnswerForm::kPlain && open.caller.repeatable) {
      this->hedges = RecordAnswerTime(this->hedges, elapsed);
    }
  }
  if (!open.caller.stream) {
    return;
  }
  if (!std::exchange(open.head_sent, true)) {
    open.writer->Start(200, {{"Content-Type", "text/event-stream"},
                             {"Cache-Control", "no-store"},
                             {"X-Request-Id", open.life.id.value}});
  }
  this->context.metrics.Count("tokens_delivered");
  open.writer->Write(WriteChunk(open.identity, text));
  if (open.writer->BufferedBytes() > kMaxUnreadBytes) {
    this->context.metrics.Count("slow_callers_given_up");
    open.writer->Abort();
    Post(this->context.loop, [this, id = open.life.id] {
      if (Open* found = this->FindOpen(id)) {
        this->Apply(*found, CallerLeft{});
      }
    });
  }
}

void RequestTask::FinishAnswer(Open& open, const AnswerEnd& end) {
  this->context.metrics.Count("requests_answered");
  const Failure answered{ResultCode::kAnswered,
                         std::to_string(end.count) + " pieces"};
  this->RecordEvent(open, EventKind::kAnswered, &answered);
  const HttpHeader request_id{"X-Request-Id", open.life.id.value};
  if (open.caller.form == AnswerForm::kPlain) {
    HttpHeaders headers = {request_id};
    if (!end.content_type.empty()) {
      headers.push_back({"Content-Type", end.content_type});
    }
    open.writer->Respond(end.status, std::move(headers),
                         open.life.delivered_text);
  } else if (open.caller.stream) {
    if (!std::exchange(open.head_sent, true)) {
      open.writer->Start(200,
                         {{"Content-Type", "text/event-stream"}, request_id});
    }
    open.writer->Write(WriteStreamEnd(open.identity, end.finish_reason));
    open.writer->End();
  } else {
    open.writer->Respond(
        200, {{"Content-Type", "application/json"}, request_id},
        WriteWholeAnswer(open.identity, open.life.delivered_text, end.count,
                         end.finish_reason));
  }
}

void RequestTask::FinishFailure(Open& open, const Failure& failure) {
  this->context.metrics.Count(
      "requests_failed",
      "code=\"" + std::to_string(static_cast<int>(failure.code)) + "\"");
  const bool cancelled = failure.code == ResultCode::kCancelledByCaller;
  this->RecordEvent(open,
                    cancelled ? EventKind::kCancelled
                              : (IsCertainlyNotRun(failure.code)
                                     ? EventKind::kRefused
                                     : EventKind::kOutcomeUnknown),
                    &failure);
  if (cancelled) {
    return;
  }
  if (open.head_sent) {
    open.writer->Write(WriteStreamError(failure, open.life.id));
    open.writer->End();
    return;
  }
  open.writer->Respond(DescribeResultCode(failure.code).http_status,
                       {{"Content-Type", "application/json"},
                        {"X-Request-Id", open.life.id.value}},
                       WriteError(failure, open.life.id));
}

// The request stays until the current callback has returned.
void RequestTask::Close(Open& open) {
  open.closed = true;
  open.deadline_timer.reset();
  open.hedge_timer.reset();
  if (std::exchange(open.queued, false)) {
    ServiceQueue& service = this->queues[open.queue];
    service.queue =
        Withdraw(std::move(service.queue), open.caller.account, open.life.id);
  }
  for (int attempt = 1; attempt <= open.life.attempts_started; ++attempt) {
    const DispatchId id{open.life.id.value + "." + std::to_string(attempt)};
    this->EndDispatch(id);
    if (open.key) {
      this->voids.Forget(id);
    }
  }
  Post(this->context.loop,
       [this, id = open.life.id] { this->requests.erase(id); });
}

}  // namespace toucanhollow
