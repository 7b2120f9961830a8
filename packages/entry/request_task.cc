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

// The connection of a caller with more unread bytes than this is closed, so
// that slow callers cannot use up the memory of an entry host.
constexpr std::size_t kMaxUnreadBytes = std::size_t{1} << 20;
// Expected tokens of an answer if the request sets no max_tokens.
constexpr int kDefaultExpectedTokens = 128;
// An endpoint that refused or failed an attempt is excluded from the request's
// next attempts for this time only: it may be the only endpoint, and recover.
constexpr Duration kExclusionTime = Milliseconds(500);
// The queues are also checked periodically, because deadlines pass and the
// estimated load of endpoints changes without an event.
constexpr Duration kQueueCheckPeriod = Milliseconds(20);
// Queued requests are refused if no endpoint accepts work for this long. The
// wait covers the replacement of an agent.
constexpr Duration kMaxWaitWithoutEndpoint = Seconds(2);

Priority ToPriority(int priority) {
  return priority > 0 ? Priority::kHigh : Priority::kLow;
}

}  // namespace

struct RequestTask::OpenRequest {
  RequestState state;
  CallerRequest caller;
  AnswerMetadata metadata;
  std::shared_ptr<HttpResponseWriter> writer;
  // The groups that serve the model, or the plain service.
  std::vector<ServiceName> services;
  // Key in `queues`: the name of the model or plain service.
  std::string queue;
  std::optional<ScopedKey> key;
  // Offset in stream `claims` from which the outcome of a void is read.
  LogOffset claims_from = 0;
  // Hashes of the prompt's blocks, as engines report them in cache events.
  std::vector<BlockHash> blocks;
  int prompt_tokens = 0;
  TimePoint accepted_at;
  TimePoint deadline;
  std::unique_ptr<Timer> deadline_timer;
  std::unique_ptr<Timer> hedge_timer;
  int hedges_sent = 0;
  // Endpoints that refused or failed an attempt, with the time of the failure.
  std::map<EndpointName, TimePoint> excluded;
  bool spends_retry = false;
  bool queued = false;
  bool head_sent = false;
  bool first_piece_received = false;
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
  this->dispatch_timer = std::make_unique<Timer>(
      this->context.loop, kQueueCheckPeriod, kQueueCheckPeriod,
      [this] { this->DispatchAllQueued(); });
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

RequestTask::OpenRequest* RequestTask::FindOpenRequest(const RequestId& id) {
  const auto found = this->requests.find(id);
  return found == this->requests.end() || found->second->closed
             ? nullptr
             : found->second.get();
}

void RequestTask::RecordEvent(const OpenRequest& open,
                              EventKind kind,
                              const Failure* failure,
                              const DispatchId* dispatch_id,
                              const EndpointName* endpoint) {
  Event event;
  event.kind = kind;
  event.request = open.state.id;
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
  auto owned = std::make_unique<OpenRequest>();
  OpenRequest& open = *owned;
  open.state.id.value = this->context.settings.process.value + "." +
                        std::to_string(this->context.incarnation.value) + "." +
                        std::to_string(++this->accepted_count);
  open.accepted_at = EventLoop::Now();
  const Duration allowed = request.deadline > Duration(0)
                               ? request.deadline
                               : this->context.settings.limits.default_deadline;
  open.deadline = open.accepted_at + allowed;
  open.metadata = AnswerMetadata{request.format, open.state.id, request.service,
                                 EventLoop::WallNow()};
  open.caller = std::move(request);
  open.writer = std::move(writer);
  const RequestId id = open.state.id;
  this->requests.emplace(id, std::move(owned));
  this->context.metrics.Count("requests_accepted");
  Event event;
  event.kind = EventKind::kRequestAccepted;
  event.request = id;
  event.subject = open.caller.service.value;
  event.detail = "account " + open.caller.account.value;
  this->context.Record(std::move(event));

  open.writer->OnCallerDisconnected([this, id] {
    if (OpenRequest* found = this->FindOpenRequest(id)) {
      this->ApplyEvent(*found, CallerDisconnected{});
    }
  });
  const Result<bool> resolved = this->ResolveServices(open);
  if (!resolved) {
    this->ApplyEvent(open, NoAttemptPossible{resolved.error()});
    return;
  }
  open.deadline_timer = std::make_unique<Timer>(
      this->context.loop, allowed, Duration(0), [this, id] {
        if (OpenRequest* found = this->FindOpenRequest(id)) {
          this->ApplyEvent(*found, DeadlinePassed{});
        }
      });
  this->retry_budget = RecordRequest(this->retry_budget);
  this->Enqueue(open, false);
}

// Sets the services of the request, and whether it may be repeated. Fails with
// kNotReady, kUnknownService, kAccountNotServed, kKeyMalformed or
// kLogUnavailable.
Result<bool> RequestTask::ResolveServices(OpenRequest& open) {
  if (!this->view.ready) {
    return MakeFailure(ResultCode::kNotReady,
                       "this entry host has no configuration yet");
  }
  const CallerRequest& caller = open.caller;
  open.queue = caller.service.value;
  if (caller.format == AnswerFormat::kPlain) {
    return this->ResolvePlainService(open);
  }
  open.blocks = HashPromptBlocks(caller.prompt);
  open.prompt_tokens = static_cast<int>(CountPromptTokens(caller.prompt));
  open.services =
      ListGroupsOfModel(this->view, caller.service.value, caller.account);
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

Result<bool> RequestTask::ResolvePlainService(OpenRequest& open) {
  const CallerRequest& caller = open.caller;
  const auto service = this->view.services.find(caller.service);
  if (service == this->view.services.end() || !service->second.plain) {
    return MakeFailure(
        ResultCode::kUnknownService,
        "no plain service '" + caller.service.value + "' is configured");
  }
  if (GetAccountShare(this->view, caller.service, caller.account) <= 0) {
    return MakeFailure(ResultCode::kAccountNotServed,
                       "no record lets account '" + caller.account.value +
                           "' use service '" + caller.service.value + "'");
  }
  open.services = {caller.service};
  open.state.repeatable =
      caller.repeatable ||
      IsRepeatable(service->second, caller.method, caller.path);
  if (open.state.repeatable || caller.idempotency_key.empty()) {
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
                       "the platform log has not answered since this "
                       "entry host started");
  }
  open.key = key.value();
  open.state.keyed = true;
  open.claims_from = *end;
  return true;
}

void RequestTask::Enqueue(OpenRequest& open, bool at_head) {
  const TimePoint now = EventLoop::Now();
  ServiceQueue& service = this->queues[open.queue];
  QueuedRequest queued;
  queued.request = open.state.id;
  queued.account = open.caller.account;
  queued.priority = ToPriority(open.caller.priority);
  queued.cost = open.caller.format == AnswerFormat::kPlain
                    ? 1
                    : open.caller.max_tokens.value_or(kDefaultExpectedTokens);
  queued.deadline = open.deadline;
  queued.expected_service = this->links.MeanServiceTime(open.services);
  open.queued = true;
  if (at_head) {
    service.queue = Requeue(std::move(service.queue), std::move(queued), now);
  } else {
    service.queue.parameters.account_limit =
        static_cast<int>(this->context.settings.limits.account_queue);
    service.queue = SetWeight(
        std::move(service.queue), open.caller.account,
        std::max(1e-3, GetAccountShare(this->view, open.services.front(),
                                       open.caller.account)));
    EnqueueDecision decision =
        toucanhollow::Enqueue(std::move(service.queue), std::move(queued), now);
    service.queue = std::move(decision.queue);
    for (const QueueRefusal& refusal : decision.refused) {
      this->RefuseQueued(refusal.request, refusal.code);
    }
  }
  this->DispatchQueued(service);
}

void RequestTask::RefuseQueued(const RequestId& id, ResultCode code) {
  if (OpenRequest* open = this->FindOpenRequest(id)) {
    open->queued = false;
    this->ApplyEvent(*open, NoAttemptPossible{MakeFailure(code, "")});
  }
}

void RequestTask::ScheduleDispatch() {
  if (!std::exchange(this->dispatch_posted, true)) {
    Post(this->context.loop, [this] {
      this->dispatch_posted = false;
      this->DispatchAllQueued();
    });
  }
}

void RequestTask::DispatchAllQueued() {
  for (auto& [name, queue] : this->queues) {
    this->DispatchQueued(queue);
  }
}

void RequestTask::DispatchQueued(ServiceQueue& service) {
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
    OpenRequest* open = this->FindOpenRequest(decision.request->request);
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
        Requeue(std::move(service.queue), *std::move(decision.request), now);
    if (chosen.error().code == ResultCode::kEndpointFull) {
      service.without_endpoint_since.reset();
      return;
    }
    if (!service.without_endpoint_since) {
      service.without_endpoint_since = now;
    }
    if (now - *service.without_endpoint_since >= kMaxWaitWithoutEndpoint) {
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
    if (OpenRequest* open = this->FindOpenRequest(id)) {
      this->ApplyEvent(*open, NoAttemptPossible{failure});
    }
  }
}

// Chooses an agent for the next attempt. `current_agent`, if not null, already
// has an attempt of the request and is excluded.
Result<ChosenAgent> RequestTask::Choose(const OpenRequest& open,
                                        const AgentIncarnation* current_agent) {
  const TimePoint now = EventLoop::Now();
  std::vector<EndpointName> excluded;
  for (const auto& [endpoint, since] : open.excluded) {
    if (now - since < kExclusionTime) {
      excluded.push_back(endpoint);
    }
  }
  if (current_agent != nullptr) {
    excluded.push_back(current_agent->endpoint);
  }
  if (open.key) {
    // All dispatches of a key go to its home endpoint, whose agent answers a
    // repeat with the result of the call that is already running.
    std::vector<EndpointName> eligible =
        this->links.ListEligibleEndpoints(open.services.front());
    std::erase_if(eligible, [&](const EndpointName& name) {
      return std::ranges::find(excluded, name) != excluded.end();
    });
    const auto home = ChooseHomeEndpoint(*open.key, eligible);
    if (!home) {
      return MakeFailure(ResultCode::kNoEndpointAvailable,
                         "no endpoint in service accepts work now");
    }
    return this->links.ChooseNamed(open.services.front(), *home);
  }
  RoutingRequest request;
  std::vector<PrefixMatch> matches;
  if (open.caller.format != AnswerFormat::kPlain) {
    matches = MatchPrefix(this->prefixes, open.blocks, now);
    request.prompt_tokens = open.prompt_tokens;
    request.expected_output_tokens =
        open.caller.max_tokens.value_or(kDefaultExpectedTokens);
  }
  request.matches = matches;
  request.excluded = excluded;
  return this->links.Choose(open.services, request);
}

Dispatch RequestTask::MakeDispatch(const OpenRequest& open,
                                   const ChosenAgent& chosen) const {
  Dispatch dispatch;
  dispatch.attempt = open.state.attempts_started + 1;
  // The request's identifier contains this process's incarnation, so that the
  // identifier stays unique after a restart of the entry host.
  dispatch.dispatch_id.value =
      open.state.id.value + "." + std::to_string(dispatch.attempt);
  dispatch.request_id = open.state.id;
  dispatch.receiver = chosen.agent.incarnation;
  dispatch.account = open.caller.account;
  dispatch.service = chosen.service;
  dispatch.path = open.caller.path;
  if (open.caller.format == AnswerFormat::kPlain) {
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
  dispatch.repeatable = open.state.repeatable;
  dispatch.stream = open.caller.stream;
  dispatch.resume_index = open.state.delivered;
  dispatch.resume_text = open.state.delivered_text;
  dispatch.config_offset = this->view.as_of;
  return dispatch;
}

void RequestTask::SendAttempt(OpenRequest& open,
                              const ChosenAgent& chosen,
                              bool hedge) {
  const Dispatch dispatch = this->MakeDispatch(open, chosen);
  const EventKind kind =
      hedge ? EventKind::kHedged
            : (open.state.delivered > 0
                   ? EventKind::kResumed
                   : (dispatch.attempt > 1 ? EventKind::kRetried
                                           : EventKind::kDispatched));
  this->RecordEvent(open, kind, nullptr, &dispatch.dispatch_id,
                    &chosen.agent.endpoint);
  this->dispatches.emplace(dispatch.dispatch_id,
                           OpenDispatch{open.state.id, chosen.agent});
  this->ApplyEvent(open,
                   AttemptStarted{dispatch.dispatch_id, chosen.agent.endpoint,
                                  chosen.agent.incarnation, hedge});
  if (!this->links.Send(chosen.agent, dispatch)) {
    this->dispatches.erase(dispatch.dispatch_id);
    open.excluded[chosen.agent.endpoint] = EventLoop::Now();
    this->ApplyEvent(
        open,
        AttemptFailed{dispatch.dispatch_id, chosen.agent.incarnation, true,
                      MakeFailure(ResultCode::kNoEndpointAvailable,
                                  "the link to " + chosen.agent.endpoint.value +
                                      " is closed or its queue is full")});
    return;
  }
  if (!open.blocks.empty()) {
    this->prefixes =
        RecordPrompt(std::move(this->prefixes), chosen.agent.endpoint,
                     open.blocks, EventLoop::Now());
  }
  if (!hedge) {
    this->StartHedgeTimer(open);
  }
}

void RequestTask::StartHedgeTimer(OpenRequest& open) {
  const bool idempotent_read =
      open.caller.format == AnswerFormat::kPlain && open.caller.repeatable;
  if (!idempotent_read || open.state.attempts_started != 1) {
    return;
  }
  this->hedges = RecordIdempotentRequest(this->hedges);
  const auto delay = HedgeDelay(this->hedges);
  if (!delay) {
    return;
  }
  open.hedge_timer = std::make_unique<Timer>(
      this->context.loop, *delay, Duration(0), [this, id = open.state.id] {
        if (OpenRequest* found = this->FindOpenRequest(id)) {
          this->TryHedge(*found);
        }
      });
}

void RequestTask::TryHedge(OpenRequest& open) {
  if (open.state.attempts.size() != 1) {
    return;
  }
  HedgeRequest request;
  request.idempotent = true;
  request.unanswered = !open.first_piece_received;
  request.hedges_sent = open.hedges_sent;
  request.elapsed = EventLoop::Now() - open.accepted_at;
  const HedgeDecision decision = ShouldHedge(this->hedges, request);
  const Attempt& attempt = open.state.attempts.front();
  const AgentIncarnation current_agent{attempt.endpoint, attempt.incarnation};
  const Result<ChosenAgent> chosen = this->Choose(open, &current_agent);
  if (!decision.hedge || !chosen) {
    return;
  }
  this->hedges = decision.state;
  ++open.hedges_sent;
  this->context.metrics.Count("hedges_sent");
  this->SendAttempt(open, chosen.value(), true);
}

void RequestTask::ApplyEvent(OpenRequest& open, const RequestEvent& event) {
  RequestStep step = toucanhollow::OnEvent(std::move(open.state), event);
  open.state = std::move(step.state);
  for (const RequestAction& action : step.actions) {
    this->PerformAction(open, action);
  }
  if (open.state.ended && !open.closed) {
    this->Close(open);
  }
}

void RequestTask::PerformAction(OpenRequest& open,
                                const RequestAction& action) {
  if (const auto* piece = std::get_if<DeliverPiece>(&action)) {
    this->Deliver(open, piece->text);
  } else if (const auto* start = std::get_if<StartAttempt>(&action)) {
    // Posted, because starting an attempt applies further events.
    Post(this->context.loop, [this, id = open.state.id, start = *start] {
      if (OpenRequest* found = this->FindOpenRequest(id)) {
        this->StartNextAttempt(*found, start);
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
  } else if (const auto* whole = std::get_if<FinishComplete>(&action)) {
    this->FinishAnswer(open, whole->end);
  } else if (const auto* failed = std::get_if<FinishFailed>(&action)) {
    this->FinishFailure(open, failed->failure);
  }
}

void RequestTask::StartNextAttempt(OpenRequest& open,
                                   const StartAttempt& action) {
  if (action.spends_retry) {
    const SpendDecision decision = SpendRetry(this->retry_budget);
    this->retry_budget = decision.budget;
    if (!decision.allowed) {
      this->context.metrics.Count("retries_over_budget");
      this->ApplyEvent(
          open, NoAttemptPossible{MakeFailure(
                    ResultCode::kOverloaded, "the retry budget is exhausted")});
      return;
    }
    this->context.metrics.Count("retries_sent");
  }
  this->Enqueue(open, true);
}

void RequestTask::StartVoid(OpenRequest& open, const DispatchId& dispatch_id) {
  this->RecordEvent(open, EventKind::kVoided, nullptr, &dispatch_id);
  this->voids.Void(*open.key, dispatch_id, open.claims_from);
}

void RequestTask::OnVoidSettled(const VoidWatch& watch) {
  for (auto& [id, open] : this->requests) {
    if (open->closed || open->state.pending_void != watch.dispatch) {
      continue;
    }
    const DispatchOutcome outcome = GetDispatchOutcome(watch);
    if (outcome == DispatchOutcome::kAnswered && watch.result &&
        watch.result->whole) {
      this->ApplyEvent(*open,
                       StoredAnswer{watch.dispatch,
                                    watch.result->body,
                                    {1, watch.result->http_status, "", ""}});
      return;
    }
    const ResultCode code = outcome == DispatchOutcome::kAnswered
                                ? ResultCode::kAnswerTruncated
                                : GetOutcomeCode(watch);
    this->ApplyEvent(
        *open, VoidSettled{watch.dispatch, outcome == DispatchOutcome::kNotRun,
                           MakeFailure(code, "")});
    return;
  }
}

void RequestTask::EndDispatch(const DispatchId& dispatch_id) {
  const auto found = this->dispatches.find(dispatch_id);
  if (found == this->dispatches.end()) {
    return;
  }
  const AgentIncarnation agent = found->second.agent;
  this->dispatches.erase(found);
  this->links.RecordDispatchEnded(agent);
}

void RequestTask::FailAttempt(const AgentIncarnation& agent,
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
    this->links.RecordFullRefusal(agent);
  }
  this->EndDispatch(dispatch_id);
  OpenRequest* open = this->FindOpenRequest(request);
  if (open == nullptr) {
    return;
  }
  if (failure.code != ResultCode::kEndpointFull) {
    open->excluded[agent.endpoint] = EventLoop::Now();
  }
  this->context.metrics.Count(
      "attempts_failed",
      "code=\"" + std::to_string(static_cast<int>(failure.code)) + "\"");
  this->ApplyEvent(*open, AttemptFailed{dispatch_id, agent.incarnation, not_run,
                                        std::move(failure)});
}

void RequestTask::OnMessage(const AgentIncarnation& agent, Message message) {
  const auto find_open_request =
      [&](const DispatchId& dispatch_id) -> OpenRequest* {
    const auto dispatch = this->dispatches.find(dispatch_id);
    if (dispatch == this->dispatches.end() || dispatch->second.agent != agent) {
      this->context.metrics.Count("messages_of_ended_dispatches");
      return nullptr;
    }
    return this->FindOpenRequest(dispatch->second.request);
  };
  if (const auto* notice = std::get_if<CacheNotice>(&message)) {
    this->OnCacheNotice(*notice);
  } else if (auto* token = std::get_if<Token>(&message)) {
    if (OpenRequest* open = find_open_request(token->dispatch_id)) {
      this->ApplyEvent(*open,
                       PieceArrived{token->dispatch_id, agent.incarnation,
                                    token->index, std::move(token->text)});
    }
  } else if (auto* done = std::get_if<Done>(&message)) {
    if (OpenRequest* open = find_open_request(done->dispatch_id)) {
      this->ApplyEvent(*open,
                       EndArrived{done->dispatch_id, agent.incarnation,
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

void RequestTask::OnAgentLinkLost(const AgentIncarnation& agent) {
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

void RequestTask::Deliver(OpenRequest& open, const std::string& text) {
  if (!std::exchange(open.first_piece_received, true)) {
    const Duration elapsed = EventLoop::Now() - open.accepted_at;
    this->context.metrics.Observe("first_piece_ms", ToMilliseconds(elapsed));
    this->RecordEvent(open, EventKind::kFirstToken);
    if (open.caller.format == AnswerFormat::kPlain && open.caller.repeatable) {
      this->hedges = RecordAnswerTime(this->hedges, elapsed);
    }
  }
  if (!open.caller.stream) {
    return;
  }
  if (!std::exchange(open.head_sent, true)) {
    open.writer->Start(200, {{"Content-Type", "text/event-stream"},
                             {"Cache-Control", "no-store"},
                             {"X-Request-Id", open.state.id.value}});
  }
  this->context.metrics.Count("tokens_delivered");
  open.writer->Write(WriteChunk(open.metadata, text));
  if (open.writer->BufferedBytes() > kMaxUnreadBytes) {
    this->context.metrics.Count("slow_callers_given_up");
    open.writer->Abort();
    Post(this->context.loop, [this, id = open.state.id] {
      if (OpenRequest* found = this->FindOpenRequest(id)) {
        this->ApplyEvent(*found, CallerDisconnected{});
      }
    });
  }
}

void RequestTask::FinishAnswer(OpenRequest& open, const AnswerEnd& end) {
  this->context.metrics.Count("requests_answered");
  const Failure answered{ResultCode::kAnswered,
                         std::to_string(end.count) + " pieces"};
  this->RecordEvent(open, EventKind::kAnswered, &answered);
  const HttpHeader request_id{"X-Request-Id", open.state.id.value};
  if (open.caller.format == AnswerFormat::kPlain) {
    HttpHeaders headers = {request_id};
    if (!end.content_type.empty()) {
      headers.push_back({"Content-Type", end.content_type});
    }
    open.writer->Respond(end.status, std::move(headers),
                         open.state.delivered_text);
  } else if (open.caller.stream) {
    if (!std::exchange(open.head_sent, true)) {
      open.writer->Start(200,
                         {{"Content-Type", "text/event-stream"}, request_id});
    }
    open.writer->Write(WriteStreamEnd(open.metadata, end.finish_reason));
    open.writer->End();
  } else {
    open.writer->Respond(
        200, {{"Content-Type", "application/json"}, request_id},
        WriteWholeAnswer(open.metadata, open.state.delivered_text, end.count,
                         end.finish_reason));
  }
}

void RequestTask::FinishFailure(OpenRequest& open, const Failure& failure) {
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
    open.writer->Write(WriteStreamError(failure, open.state.id));
    open.writer->End();
    return;
  }
  open.writer->Respond(DescribeResultCode(failure.code).http_status,
                       {{"Content-Type", "application/json"},
                        {"X-Request-Id", open.state.id.value}},
                       WriteError(failure, open.state.id));
}

// Ends the request's timers and dispatches. The request itself is erased after
// the current callback, which may still use it.
void RequestTask::Close(OpenRequest& open) {
  open.closed = true;
  open.deadline_timer.reset();
  open.hedge_timer.reset();
  if (std::exchange(open.queued, false)) {
    ServiceQueue& service = this->queues[open.queue];
    service.queue =
        Withdraw(std::move(service.queue), open.caller.account, open.state.id);
  }
  for (int attempt = 1; attempt <= open.state.attempts_started; ++attempt) {
    const DispatchId id{open.state.id.value + "." + std::to_string(attempt)};
    this->EndDispatch(id);
    if (open.key) {
      this->voids.StopWatching(id);
    }
  }
  Post(this->context.loop,
       [this, id = open.state.id] { this->requests.erase(id); });
}

}  // namespace toucanhollow
