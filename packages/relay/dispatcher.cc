#include "relay/dispatcher.h"

#include <algorithm>
#include <utility>

#include "base/check.h"
#include "base/hash.h"
#include "json_log/json_log.h"
#include "quarantine/choose_canary.h"
#include "relay/agent_address.h"
#include "traffic/caller_retry.h"

namespace toucanhollow {
namespace {

// Queued requests are checked this often, and whenever a request ends.
constexpr Duration kQueueCheckPeriod = Milliseconds(10);
// Limits of the Retry-After time under overload, which follows the expected
// wait.
constexpr Duration kMinRetryAfter = Milliseconds(300);
constexpr Duration kMaxOverloadRetryAfter = Milliseconds(1500);
// A model group that broke needs seconds to form again.
constexpr Duration kHaltedServiceRetryAfter = Seconds(5);
// Services without an engine answer faster than load reports arrive, so the
// reports still count requests that have ended. The larger limit offsets that.
constexpr int kPlainLimitFactor = 2;
// A server whose agent has not answered this many times in a row tests no parts
// of prompts.
constexpr int kSilentIssuerTimeouts = 2;

// Hosts that have not heard of the end of a limit after this long learn of it
// by their own answers.
constexpr Duration kWithdrawalReportTime = Seconds(10);

int MaxOutstanding(const Service& service, const ListedServer& server) {
  return service.engine ? server.slots : server.slots * kPlainLimitFactor;
}

bool IsQuiet(const ServerConnectionPool& pool) {
  return pool.quiet &&
         RemainingQuiet(pool.quiet, EventLoop::BootNow()) > Duration(0);
}

}  // namespace

Dispatcher::Dispatcher(EventLoop& loop,
                       const RelaySettings& settings,
                       PermitClient& permits,
                       PromptQuarantine& quarantine)
    : loop(loop),
      settings(settings),
      permits(permits),
      quarantine(quarantine),
      isolation({[this](const DispatchRequest& request) {
                   return this->Judge(request, EventLoop::Now());
                 },
                 [this](const std::vector<PartId>& parts) {
                   return AreTestedApart(this->recent_prompts,
                                         this->quarantine.state(), parts,
                                         EventLoop::Now());
                 },
                 [this](const ServiceName& service) {
                   return this->IsHalted(service);
                 },
                 [this](const ServiceName& service, PartId part) {
                   return this->FindCanary(service, part, EventLoop::Now());
                 },
                 [this](const std::shared_ptr<ServerConnectionPool>& pool,
                        WaitingRequest request,
                        const std::vector<PartId>& parts) {
                   this->AskForPermit(pool, std::move(request), parts,
                                      EventLoop::Now());
                 },
                 [this](WaitingRequest request) {
                   this->PlaceNow(std::move(request), EventLoop::Now());
                 },
                 [this](const WaitingRequest& request,
                        ResultCode code,
                        std::optional<Duration> retry_after) {
                   request.callbacks.on_refused(
                       code, retry_after.value_or(this->EstimateRetryAfter(
                                 request.dispatch_request, EventLoop::Now())));
                 }}),
      next_seed(HashText(settings.process.value)) {}

Dispatcher::~Dispatcher() {
  for (const auto& [request, wait] : this->permit_waits) {
    this->permits.Cancel(wait.serial);
  }
}

void Dispatcher::UpdateView(const PlatformView& view) {
  this->view = &view;
  for (const auto& [id, server] : view.servers) {
    auto& pool = this->pools[id];
    if (pool == nullptr ||
        pool->server().start_time_ms != server.listed.start_time_ms ||
        pool->server().service != server.listed.service ||
        pool->server().address != server.listed.address) {
      pool = std::make_shared<ServerConnectionPool>(server.listed);
    }
  }
  std::erase_if(this->pools, [&view](const auto& entry) {
    return !view.servers.contains(entry.first);
  });
  const TimePoint now = EventLoop::Now();
  for (const auto& [id, pool] : this->pools) {
    if (pool->leaving || !IsUsable(view.servers.at(id), view.evacuated, now)) {
      pool->CloseIdle();
    }
  }
  this->DispatchAllQueued();
}

void Dispatcher::DispatchAllQueued() {
  const TimePoint now = EventLoop::Now();
  std::vector<ServiceName> names;
  for (auto& [name, state] : this->services) {
    names.push_back(name);
    state.queue = SetHalted(std::move(state.queue), this->IsHalted(name), now);
  }
  for (const ServiceName& name : names) {
    this->DispatchQueued(name);
  }
}

std::uint64_t Dispatcher::Draw() {
  return HashText(std::to_string(this->next_seed++));
}

std::vector<std::shared_ptr<ServerConnectionPool>> Dispatcher::FindUsablePools(
    const ServiceName& service,
    TimePoint now) const {
  std::vector<std::shared_ptr<ServerConnectionPool>> found;
  for (const auto& [id, server] : this->view->servers) {
    if (server.listed.service == service &&
        IsUsable(server, this->view->evacuated, now)) {
      const auto& pool = this->pools.at(id);
      if (!pool->leaving && !IsMisdirected(pool->misdirection, server, now)) {
        found.push_back(pool);
      }
    }
  }
  return found;
}

std::shared_ptr<ServerConnectionPool> Dispatcher::FindServer(
    const DispatchRequest& dispatch_request,
    TimePoint now) {
  if (this->view == nullptr || this->view->traffic == nullptr) {
    return nullptr;
  }
  const auto service =
      this->view->traffic->services.find(dispatch_request.service);
  if (service == this->view->traffic->services.end()) {
    return nullptr;
  }
  ExpireLoadReports(this->peer_loads, now);
  std::vector<std::shared_ptr<ServerConnectionPool>> pools;
  std::set<std::uint32_t> slow = SlowServers(this->peer_loads, now);
  slow.insert(this->slow_servers.begin(), this->slow_servers.end());
  std::vector<ServerCandidate> untried_servers;
  std::vector<ServerCandidate> tried_servers;
  for (const auto& pool :
       this->FindUsablePools(dispatch_request.service, now)) {
    if (this->IsHalted(*pool) || now < pool->permits.ask_from ||
        IsQuiet(*pool)) {
      continue;
    }
    const ServerLoad others =
        FindServerLoad(this->peer_loads, pool->load_key());
    ServerCandidate candidate;
    candidate.id = pool->server().id;
    candidate.outstanding = pool->outstanding + others.outstanding;
    candidate.pending_prompt_tokens =
        pool->pending_prompt_tokens + others.pending_prompt_tokens;
    candidate.limit = MaxOutstanding(service->second, pool->server());
    candidate.local = pool->server().data_centre == this->settings.data_centre;
    candidate.slow = slow.contains(pool->load_key());
    candidate.health = pool->health;
    (dispatch_request.tried_servers.contains(candidate.id) ? tried_servers
                                                           : untried_servers)
        .push_back(candidate);
  }
  PlacementRequest request;
  request.seed = this->next_seed++;
  for (const auto* candidates : {&untried_servers, &tried_servers}) {
    const auto chosen = PlaceRequest(*candidates, request, now);
    if (chosen) {
      return this->pools.at((*candidates)[*chosen].id);
    }
  }
  return nullptr;
}

PromptJudgement Dispatcher::Judge(const DispatchRequest& dispatch_request,
                                  TimePoint now) {
  return this->quarantine.Judge(dispatch_request.prompt_parts,
                                HashAccount(dispatch_request.account.value),
                                now);
}

bool Dispatcher::HandleSuspect(WaitingRequest& request, TimePoint now) {
  const PromptJudgement judgement = this->Judge(request.dispatch_request, now);
  switch (judgement.verdict) {
    case PromptVerdict::kPass:
      return false;
    case PromptVerdict::kRefuse:
      request.callbacks.on_refused(ResultCode::kPromptQuarantined,
                                   judgement.retry_after);
      return true;
    case PromptVerdict::kIsolate:
      this->isolation.Add(std::move(request), now, now);
      this->StartTimer();
      return true;
  }
  return false;
}

std::shared_ptr<ServerConnectionPool> Dispatcher::FindCanary(
    const ServiceName& service,
    PartId part,
    TimePoint now) const {
  if (this->view == nullptr || this->view->traffic == nullptr ||
      !this->view->traffic->services.contains(service)) {
    return nullptr;
  }
  std::vector<std::shared_ptr<ServerConnectionPool>> pools;
  std::vector<CanaryCandidate> candidates;
  for (const auto& pool : this->FindUsablePools(service, now)) {
    if (this->IsHalted(*pool) ||
        pool->permits.consecutive_timeouts >= kSilentIssuerTimeouts) {
      continue;
    }
    CanaryCandidate candidate;
    candidate.server = pool->server().id;
    candidate.address = HashAddress(pool->server().address);
    if (this->groups != nullptr) {
      const auto rank = this->groups->rank_by_server.find(pool->server().id);
      if (rank != this->groups->rank_by_server.end()) {
        candidate.group = rank->second.group.name;
      }
    }
    const int others =
        FindServerLoad(this->peer_loads, pool->load_key()).outstanding;
    candidate.available =
        now >= pool->permits.ask_from && !IsQuiet(*pool) &&
        pool->outstanding + others <
            MaxOutstanding(this->view->traffic->services.at(service),
                           pool->server());
    pools.push_back(pool);
    candidates.push_back(std::move(candidate));
  }
  const auto chosen = ChooseCanary(candidates, part, this->quarantine.state());
  return chosen ? pools[*chosen] : nullptr;
}

Address Dispatcher::FindIssuer(const Service& service,
                               const ListedServer& server,
                               TimePoint now) const {
  if (service.engine) {
    return AgentAddress(server, this->settings);
  }
  const auto peer = FindIssuingHost(this->peer_loads, now);
  const bool is_peer = peer && peer->generation > this->issuer_generation;
  return {is_peer ? peer->host : this->settings.control.ip,
          this->settings.report_port};
}

bool Dispatcher::HearsIssuer(TimePoint now) const {
  return FindIssuingHost(this->peer_loads, now).has_value();
}

bool Dispatcher::NeedsPermit(const ServerConnectionPool& pool) const {
  const Service& service =
      this->view->traffic->services.at(pool.server().service);
  return service.cold_requests_per_s > 0 || IsNamed(pool.limit);
}

void Dispatcher::Assign(const std::shared_ptr<ServerConnectionPool>& pool,
                        WaitingRequest request,
                        TimePoint now) {
  if (this->NeedsPermit(*pool)) {
    this->AskForPermit(pool, std::move(request), {}, now);
    return;
  }
  ++pool->outstanding;
  pool->pending_prompt_tokens +=
      static_cast<int>(request.dispatch_request.prompt_tokens);
  request.callbacks.on_placed({pool});
}

void Dispatcher::AskForPermit(const std::shared_ptr<ServerConnectionPool>& pool,
                              WaitingRequest request,
                              const std::vector<PartId>& tested_parts,
                              TimePoint now) {
  ++pool->outstanding;
  pool->pending_prompt_tokens +=
      static_cast<int>(request.dispatch_request.prompt_tokens);
  const Service& service =
      this->view->traffic->services.at(pool->server().service);
  PermitRequest permit;
  permit.server = pool->load_key();
  if (service.cold_requests_per_s > 0) {
    permit.rate =
        FindPermitRate(service.cold_requests_per_s, this->settings.cold);
  }
  if (!tested_parts.empty()) {
    permit.purpose = PermitPurpose::kIsolatedRequest;
  }
  permit.start_time_ms = pool->server().start_time_ms;
  if (pool->limit) {
    permit.limit = AgeLimit(*pool->limit, now);
  }
  const Address issuer = this->FindIssuer(service, pool->server(), now);
  pool->permits = RecordAsk(pool->permits, now);
  const RequestId id = request.dispatch_request.request;
  const std::uint64_t serial = this->permits.Ask(
      issuer, permit,
      [this, id](const PermitAnswer& answer) { this->OnPermit(id, answer); });
  this->permit_waits.emplace(
      id, PermitWait{std::move(request), pool, issuer, serial, tested_parts});
}

bool Dispatcher::IsCurrent(const ServerConnectionPool& pool,
                           TimePoint now) const {
  const auto listed = this->view->servers.find(pool.server().id);
  return listed != this->view->servers.end() &&
         this->pools.at(pool.server().id).get() == &pool && !pool.leaving &&
         !IsQuiet(pool) &&
         IsUsable(listed->second, this->view->evacuated, now) &&
         !IsMisdirected(pool.misdirection, listed->second, now) &&
         !this->IsHalted(pool);
}

std::string_view Dispatcher::CheckWrite(const Placement& placement,
                                        TimePoint now) const {
  if (!this->IsCurrent(*placement.pool, now)) {
    return "the server became unusable before the request was written";
  }
  if (!placement.write_by && IsNamed(placement.pool->limit)) {
    return "the server named a limit before the request was written";
  }
  return "";
}

void Dispatcher::RecordPermitAnswer(const PermitWait& wait,
                                    const PermitAnswer& answer,
                                    TimePoint now) {
  ServerConnectionPool& pool = *wait.pool;
  const PermitAvailability before = pool.permits;
  switch (answer.outcome) {
    case PermitOutcome::kGranted:
      pool.permits = RecordGrant();
      break;
    case PermitOutcome::kDenied:
      pool.permits = RecordDenial(before, answer.wait, this->Draw(), now);
      break;
    case PermitOutcome::kNoAnswer:
      pool.permits = RecordTimeout(before, now);
      break;
  }
  const std::string_view server = pool.server().id;
  if (pool.permits.consecutive_denials == 1) {
    LogJsonNow("permit_denied", {{"server", server},
                                 {"wait_ms", ToMilliseconds(answer.wait)},
                                 {"limited", IsNamed(pool.limit)}});
  }
  if (pool.permits.consecutive_timeouts == 1) {
    LogJsonNow("permit_issuer_silent", {{"server", server}});
  }
  if (before.consecutive_timeouts > 0 &&
      pool.permits.consecutive_timeouts == 0) {
    LogJsonNow("permit_issuer_answers", {{"server", server}});
  }
}

void Dispatcher::OnPermit(const RequestId& request,
                          const PermitAnswer& answer) {
  const TimePoint now = EventLoop::Now();
  const auto found = this->permit_waits.find(request);
  InternalCheck(found != this->permit_waits.end(),
                "the answer to a withdrawn request's call is not delivered");
  PermitWait wait = std::move(found->second);
  this->permit_waits.erase(found);
  if (!wait.tested_parts.empty()) {
    this->OnIsolationPermit(std::move(wait), answer, now);
    return;
  }
  this->RecordPermitAnswer(wait, answer, now);
  const DispatchRequest& dispatch_request = wait.request.dispatch_request;
  const bool passes =
      this->Judge(dispatch_request, now).verdict == PromptVerdict::kPass;
  if (passes && answer.outcome == PermitOutcome::kGranted &&
      EventLoop::BootNow() <= answer.use_until &&
      this->IsCurrent(*wait.pool, now)) {
    wait.request.callbacks.on_placed({wait.pool, answer.use_until});
    return;
  }
  this->Release(*wait.pool, static_cast<int>(dispatch_request.prompt_tokens));
  if (this->HandleSuspect(wait.request, now)) {
    return;
  }
  if (now >= dispatch_request.wait_until) {
    this->Refuse(wait.request, ResultCode::kOverloaded);
    return;
  }
  // It goes before the queued requests, which came later.
  if (const auto pool = this->FindServer(dispatch_request, now)) {
    this->Assign(pool, std::move(wait.request), now);
    return;
  }
  this->EnqueueOrRefuse(std::move(wait.request), now);
}

void Dispatcher::OnIsolationPermit(PermitWait wait,
                                   const PermitAnswer& answer,
                                   TimePoint now) {
  if (answer.outcome == PermitOutcome::kNoAnswer) {
    this->RecordPermitAnswer(wait, answer, now);
  }
  const bool granted = answer.outcome == PermitOutcome::kGranted;
  const DispatchRequest& dispatch_request = wait.request.dispatch_request;
  const PromptJudgement judgement = this->Judge(dispatch_request, now);
  const IsolationGrant grant{wait.tested_parts, wait.issuer,
                             wait.pool->load_key(), wait.serial};
  if (granted && EventLoop::BootNow() <= answer.use_until &&
      this->IsCurrent(*wait.pool, now) &&
      judgement.verdict == PromptVerdict::kIsolate &&
      judgement.suspects == wait.tested_parts) {
    wait.request.callbacks.on_placed({wait.pool, answer.use_until, grant});
    return;
  }
  this->Release(*wait.pool, static_cast<int>(dispatch_request.prompt_tokens));
  this->isolation.EndTest(wait.tested_parts);
  if (granted) {
    this->permits.EndIsolation(wait.issuer, wait.pool->load_key(), wait.serial);
  }
  // A low limit of the server may be withdrawn before the stated time.
  this->isolation.Add(std::move(wait.request),
                      now + std::min(answer.wait, kPermitWindow), now);
  this->StartTimer();
}

void Dispatcher::EndIsolation(const IsolationGrant& grant) {
  this->permits.EndIsolation(grant.agent, grant.server, grant.serial);
  this->isolation.EndTest(grant.parts);
  this->isolation.Process(EventLoop::Now());
}

void Dispatcher::OnVerdictsChanged() {
  const TimePoint now = EventLoop::Now();
  std::vector<RequestId> refused;
  for (const auto& [request, entry] : this->waiting) {
    if (this->Judge(entry.dispatch_request, now).verdict ==
        PromptVerdict::kRefuse) {
      refused.push_back(request);
    }
  }
  for (const RequestId& request : refused) {
    const auto found = this->waiting.find(request);
    if (found == this->waiting.end()) {
      continue;
    }
    WaitingRequest entry = std::move(found->second);
    this->waiting.erase(found);
    ServiceState& state = this->services[entry.dispatch_request.service];
    state.queue = toucanhollow::Withdraw(
        std::move(state.queue), entry.dispatch_request.account, request);
    this->HandleSuspect(entry, now);
  }
  this->isolation.Process(now);
}

void Dispatcher::Place(DispatchRequest dispatch_request,
                       PlacementCallbacks callbacks) {
  const TimePoint now = EventLoop::Now();
  WaitingRequest request;
  request.dispatch_request = std::move(dispatch_request);
  request.callbacks = std::move(callbacks);
  const std::vector<PartId>& parts = request.dispatch_request.prompt_parts;
  if (!parts.empty()) {
    RecordPrompt(this->recent_prompts, parts, now);
  }
  if (!this->HandleSuspect(request, now)) {
    this->PlaceNow(std::move(request), now);
  }
}

void Dispatcher::PlaceNow(WaitingRequest request, TimePoint now) {
  const ServiceName& service = request.dispatch_request.service;
  const auto [entry, is_new] = this->services.try_emplace(service);
  ServiceState& state = entry->second;
  if (is_new) {
    state.queue =
        SetHalted(std::move(state.queue), this->IsHalted(service), now);
  }
  if (state.queue.size == 0) {
    if (const auto pool = this->FindServer(request.dispatch_request, now)) {
      this->Assign(pool, std::move(request), now);
      return;
    }
  }
  this->EnqueueOrRefuse(std::move(request), now);
}

void Dispatcher::EnqueueOrRefuse(WaitingRequest request, TimePoint now) {
  const DispatchRequest& dispatch_request = request.dispatch_request;
  if (this->IsHalted(dispatch_request.service) && !dispatch_request.urgent) {
    this->Refuse(request, ResultCode::kNoEndpointAvailable);
    return;
  }
  if (this->IsQuietTooLong(dispatch_request, now)) {
    this->Refuse(request, ResultCode::kNoEndpointAvailable);
    return;
  }
  QueuedRequest queued;
  queued.priority = dispatch_request.urgent ? Priority::kHigh : Priority::kLow;
  queued.request = dispatch_request.request;
  queued.account = dispatch_request.account;
  queued.cost = dispatch_request.cost;
  queued.deadline = dispatch_request.wait_until;
  ServiceState& state = this->services[dispatch_request.service];
  const bool dequeued = request.dequeued;
  this->waiting.insert_or_assign(queued.request, std::move(request));
  this->StartTimer();
  if (dequeued) {
    state.queue = Requeue(std::move(state.queue), std::move(queued), now);
    return;
  }
  EnqueueDecision decision =
      Enqueue(std::move(state.queue), std::move(queued), now);
  state.queue = std::move(decision.queue);
  for (const QueueRefusal& refusal : decision.refused) {
    this->RefuseQueued(refusal.request, refusal.code);
  }
}

void Dispatcher::Refuse(const WaitingRequest& request, ResultCode code) {
  request.callbacks.on_refused(
      code,
      this->EstimateRetryAfter(request.dispatch_request, EventLoop::Now()));
}

void Dispatcher::RefuseQueued(const RequestId& request, ResultCode code) {
  const auto found = this->waiting.find(request);
  if (found == this->waiting.end()) {
    return;
  }
  const WaitingRequest refused = std::move(found->second);
  this->waiting.erase(found);
  this->Refuse(refused, code);
}

void Dispatcher::DispatchQueued(const ServiceName& service) {
  const TimePoint now = EventLoop::Now();
  ServiceState& state = this->services[service];
  while (state.queue.size > 0) {
    DispatchRequest probe;
    probe.service = service;
    if (this->FindServer(probe, now) == nullptr) {
      return;
    }
    DequeueDecision decision = Dequeue(std::move(state.queue), now);
    state.queue = std::move(decision.queue);
    for (const QueueRefusal& refusal : decision.refused) {
      this->RefuseQueued(refusal.request, refusal.code);
    }
    if (!decision.request) {
      continue;
    }
    const auto found = this->waiting.find(decision.request->request);
    if (found == this->waiting.end()) {
      continue;
    }
    const auto pool = this->FindServer(found->second.dispatch_request, now);
    if (pool == nullptr) {
      this->RefuseQueued(found->first, ResultCode::kNoEndpointAvailable);
      continue;
    }
    WaitingRequest placed = std::move(found->second);
    this->waiting.erase(found);
    placed.dequeued = true;
    if (!this->HandleSuspect(placed, now)) {
      this->Assign(pool, std::move(placed), now);
    }
  }
}

void Dispatcher::Withdraw(const RequestId& request) {
  if (this->isolation.Withdraw(request)) {
    return;
  }
  const auto wait = this->permit_waits.find(request);
  if (wait != this->permit_waits.end()) {
    this->permits.Cancel(wait->second.serial);
    if (!wait->second.tested_parts.empty()) {
      this->isolation.EndTest(wait->second.tested_parts);
      this->permits.EndIsolation(wait->second.issuer,
                                 wait->second.pool->load_key(),
                                 wait->second.serial);
    }
    this->Release(
        *wait->second.pool,
        static_cast<int>(wait->second.request.dispatch_request.prompt_tokens));
    this->permit_waits.erase(wait);
    return;
  }
  const auto found = this->waiting.find(request);
  if (found == this->waiting.end()) {
    return;
  }
  ServiceState& state = this->services[found->second.dispatch_request.service];
  state.queue = toucanhollow::Withdraw(
      std::move(state.queue), found->second.dispatch_request.account, request);
  this->waiting.erase(found);
}

void Dispatcher::Release(ServerConnectionPool& pool,
                         int pending_prompt_tokens) {
  --pool.outstanding;
  pool.pending_prompt_tokens -= pending_prompt_tokens;
  const ServiceName service = pool.server().service;
  Post(this->loop, [this, service, token = std::weak_ptr<int>(this->alive)] {
    if (!token.expired()) {
      this->DispatchQueued(service);
    }
  });
}

void Dispatcher::StartTimer() {
  if (this->timer == nullptr &&
      (!this->waiting.empty() || this->isolation.size() > 0)) {
    this->timer =
        std::make_unique<Timer>(this->loop, kQueueCheckPeriod,
                                kQueueCheckPeriod, [this] { this->OnTimer(); });
  }
}

void Dispatcher::OnTimer() {
  const TimePoint now = EventLoop::Now();
  std::vector<RequestId> expired;
  std::set<ServiceName> names;
  for (const auto& [request, entry] : this->waiting) {
    if (now >= entry.dispatch_request.wait_until) {
      expired.push_back(request);
    }
    names.insert(entry.dispatch_request.service);
  }
  for (const RequestId& request : expired) {
    const auto found = this->waiting.find(request);
    if (found == this->waiting.end()) {
      continue;
    }
    ServiceState& state =
        this->services[found->second.dispatch_request.service];
    state.queue =
        toucanhollow::Withdraw(std::move(state.queue),
                               found->second.dispatch_request.account, request);
    this->RefuseQueued(request, ResultCode::kOverloaded);
  }
  for (const ServiceName& name : names) {
    this->DispatchQueued(name);
  }
  this->isolation.Process(now);
  if (this->waiting.empty() && this->isolation.size() == 0) {
    this->timer.reset();
  }
}

Duration Dispatcher::EstimateRetryAfter(const DispatchRequest& dispatch_request,
                                        TimePoint now) {
  if (const auto quiet = this->FindQuietReturn(dispatch_request.service, now)) {
    return RetryDelay(*quiet, dispatch_request.deadline - now);
  }
  // A halted service needs seconds to resume.
  Duration wait = kHaltedServiceRetryAfter;
  if (!this->IsHalted(dispatch_request.service)) {
    wait = kMinRetryAfter;
    const auto found = this->services.find(dispatch_request.service);
    if (found != this->services.end()) {
      wait += ExpectedWait(found->second.queue, {}, Priority::kLow, 1, now);
    }
    wait = std::clamp(wait, kMinRetryAfter, kMaxOverloadRetryAfter);
    // Adds jitter of up to the same time, so that callers do not retry at once.
    constexpr std::uint64_t kSteps = 1000;
    const auto step = static_cast<Duration::rep>(this->Draw() % kSteps);
    wait += wait * step / static_cast<Duration::rep>(kSteps);
  }
  return RetryDelay(wait, dispatch_request.deadline - now);
}

void Dispatcher::UpdateGroups(const GroupRegistry& groups) {
  this->groups = &groups;
  std::set<GroupKey> closed;
  for (const auto& [key, group] : groups.groups) {
    if (!group.open) {
      closed.insert(key);
    }
    if (closed.contains(key) != this->closed_groups.contains(key)) {
      LogJsonNow("model_group_changed", {{"group", std::string_view(key.name)},
                                         {"epoch", group.epoch},
                                         {"standing", !group.open}});
    }
  }
  this->closed_groups = std::move(closed);
  this->DispatchAllQueued();
}

bool Dispatcher::IsHalted(const ServerConnectionPool& pool) const {
  return this->groups != nullptr &&
         IsGroupHalted(*this->groups, pool.server().id);
}

bool Dispatcher::IsHaltedOrStalled(const ServerConnectionPool& pool,
                                   TimePoint now) const {
  return this->IsHalted(pool) ||
         (this->groups != nullptr &&
          IsGroupStalled(*this->groups, pool.server().id, now));
}

bool Dispatcher::IsHalted(const ServiceName& service) const {
  if (this->view == nullptr || this->closed_groups.empty()) {
    return false;
  }
  const auto pools = this->FindUsablePools(service, EventLoop::Now());
  return !pools.empty() && std::ranges::all_of(pools, [this](const auto& pool) {
    return this->IsHalted(*pool);
  });
}

void Dispatcher::SetSlowServers(const std::set<std::string>& servers) {
  this->slow_servers.clear();
  for (const std::string& id : servers) {
    const auto pool = this->pools.find(id);
    if (pool != this->pools.end()) {
      this->slow_servers.insert(pool->second->load_key());
    }
  }
}

void Dispatcher::RecordRequest(const ServiceName& service) {
  CountRequest(this->services[service].retries, this->settings.retry,
               EventLoop::Now());
}

bool Dispatcher::TryAcquireRetry(const ServiceName& service) {
  return SpendRetry(this->services[service].retries, this->settings.retry,
                    this->host_count, EventLoop::Now());
}

void Dispatcher::SetHostCount(std::optional<int> hosts) {
  if (std::exchange(this->host_count, hosts) != hosts) {
    LogJsonNow("host_count_changed",
               {{"hosts", std::int64_t{hosts.value_or(0)}}});
  }
}

void Dispatcher::RecordRefusal(ServerConnectionPool& pool,
                               bool misdirected,
                               const std::string& at_fault,
                               TimePoint now) {
  if (IsFaultElsewhere(this->view->servers, pool.server(), at_fault)) {
    ServerHealth& named = this->pools.at(at_fault)->health;
    named = RecordReportedFault(named, now);
    return;
  }
  pool.health = RecordFailure(pool.health, now);
  const auto known = this->view->servers.find(pool.server().id);
  if (misdirected && known != this->view->servers.end()) {
    pool.misdirection = Misdirection{known->second.position, now};
    LogJsonNow("server_misdirected",
               {{"server", std::string_view(pool.server().id)},
                {"era", known->second.position.era.value},
                {"offset", known->second.position.number}});
  }
}

bool Dispatcher::RecordLimit(ServerConnectionPool& pool,
                             const LimitField& field,
                             TimePoint written_at,
                             TimePoint now) {
  const std::optional<ServerLimit> statement =
      FindStatement(field, written_at, now);
  if (!statement) {
    if (IsMalformedLimitLogDue(pool.malformed_limit_logged_at, now)) {
      pool.malformed_limit_logged_at = now;
      LogJsonNow("server_limit_malformed",
                 {{"server", std::string_view(pool.server().id)},
                  {"source", "answer"}});
    }
    return false;
  }
  this->MergeLimit(pool, *statement, true);
  return true;
}

bool Dispatcher::RecordLeaving(ServerConnectionPool& pool,
                               LeavingField field,
                               TimePoint now) {
  const std::string_view server = pool.server().id;
  if (field == LeavingField::kMalformed) {
    if (!std::exchange(pool.malformed_leaving_logged, true)) {
      LogJsonNow("server_leaving_malformed", {{"server", server}});
    }
    return false;
  }
  const auto before = std::exchange(
      pool.leaving, toucanhollow::RecordLeaving(pool.leaving, field, now));
  if (pool.leaving && !before) {
    pool.CloseIdle();
    LogJsonNow("server_leaving",
               {{"server", server}, {"outstanding", pool.outstanding}});
  }
  return true;
}

bool Dispatcher::RecordQuiet(ServerConnectionPool& pool,
                             const QuietField& field,
                             TimePoint now) {
  const std::string_view server = pool.server().id;
  if (field.kind == QuietFieldKind::kMalformed) {
    if (!std::exchange(pool.malformed_quiet_logged, true)) {
      LogJsonNow("server_quiet_malformed", {{"server", server}});
    }
    return false;
  }
  const BootTime boot_now = EventLoop::BootNow();
  const bool was_quiet = IsQuiet(pool);
  pool.quiet = toucanhollow::RecordQuiet(pool.quiet, field, boot_now);
  if (!was_quiet && IsQuiet(pool)) {
    LogJsonNow(
        "server_quiet",
        {{"server", server},
         {"for_ms", ToMilliseconds(RemainingQuiet(pool.quiet, boot_now))}});
    this->RefuseForQuiet(pool.server().service, now);
  }
  return true;
}

std::optional<Duration> Dispatcher::FindQuietWait(const ServiceName& service,
                                                  TimePoint now) const {
  if (this->view == nullptr) {
    return std::nullopt;
  }
  std::optional<Duration> soonest;
  const BootTime boot_now = EventLoop::BootNow();
  for (const auto& pool : this->FindUsablePools(service, now)) {
    const Duration remaining = RemainingQuiet(pool->quiet, boot_now);
    if (remaining == Duration(0)) {
      return std::nullopt;
    }
    soonest = std::min(soonest.value_or(remaining), remaining);
  }
  return soonest;
}

std::optional<Duration> Dispatcher::FindQuietReturn(const ServiceName& service,
                                                    TimePoint now) {
  const auto quiet = this->FindQuietWait(service, now);
  return quiet ? std::optional(SpreadReturn(*quiet, this->Draw()))
               : std::nullopt;
}

bool Dispatcher::IsQuietTooLong(const DispatchRequest& dispatch_request,
                                TimePoint now) const {
  const auto quiet = this->FindQuietWait(dispatch_request.service, now);
  return quiet && now + *quiet >= dispatch_request.wait_until;
}

void Dispatcher::RefuseForQuiet(const ServiceName& service, TimePoint now) {
  std::vector<RequestId> refused;
  for (const auto& [request, entry] : this->waiting) {
    if (entry.dispatch_request.service == service &&
        this->IsQuietTooLong(entry.dispatch_request, now)) {
      refused.push_back(request);
    }
  }
  for (const RequestId& request : refused) {
    const auto found = this->waiting.find(request);
    if (found == this->waiting.end()) {
      continue;
    }
    ServiceState& state = this->services[service];
    state.queue =
        toucanhollow::Withdraw(std::move(state.queue),
                               found->second.dispatch_request.account, request);
    this->RefuseQueued(request, ResultCode::kNoEndpointAvailable);
  }
}

void Dispatcher::MergeLimit(ServerConnectionPool& pool,
                            const ServerLimit& statement,
                            bool is_own) {
  if (!pool.limit && statement.kind == ServerLimitKind::kWithdrawn) {
    return;
  }
  const std::optional<ServerLimit> before = pool.limit;
  pool.limit = before ? LaterLimit(*before, statement) : statement;
  if (pool.limit != before) {
    pool.limit_is_own = is_own;
  }
  if (!IsSameLimit(before, pool.limit)) {
    // A wait that followed from the limit of before ends with it.
    pool.permits.ask_from = {};
    this->limit_changes += is_own ? 1 : 0;
    LogJsonNow("server_limit_changed",
               {{"server", std::string_view(pool.server().id)},
                {"kind", LimitKindName(pool.limit->kind)},
                {"per_s", pool.limit->per_s},
                {"source", is_own ? "answer" : "peer"}});
  }
}

std::size_t Dispatcher::CountLimitedServers() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      this->pools,
      [](const auto& entry) { return IsNamed(entry.second->limit); }));
}

void Dispatcher::UpdatePeerLoad(const std::string& host,
                                const HostLoadReport& report) {
  const TimePoint now = EventLoop::Now();
  RecordLoadReport(this->peer_loads, host, report, now);
  if (report.limits.empty()) {
    return;
  }
  for (const auto& [id, pool] : this->pools) {
    for (const ReportedLimit& reported : report.limits) {
      if (reported.server == pool->load_key() &&
          reported.start_time_ms == pool->server().start_time_ms) {
        this->MergeLimit(*pool, DateLimit(reported.limit, now), false);
      }
    }
  }
}

std::vector<ReportedLimit> Dispatcher::ListOwnLimits(TimePoint now) const {
  std::vector<ReportedLimit> limits;
  for (const auto& [id, pool] : this->pools) {
    if (!pool->limit || !pool->limit_is_own ||
        (!IsNamed(pool->limit) &&
         now - pool->limit->at > kWithdrawalReportTime)) {
      continue;
    }
    limits.push_back({pool->load_key(), pool->server().start_time_ms,
                      AgeLimit(*pool->limit, now)});
  }
  if (limits.size() > kMaxReportedLimits) {
    std::ranges::nth_element(
        limits, limits.begin() + kMaxReportedLimits, {},
        [](const ReportedLimit& entry) { return entry.limit.age; });
    limits.resize(kMaxReportedLimits);
  }
  return limits;
}

HostLoadReport Dispatcher::MakeLoadReport(TimePoint now) const {
  HostLoadReport report;
  report.limits = this->ListOwnLimits(now);
  report.issuer_generation = this->issuer_generation;
  report.slow_servers.assign(this->slow_servers.begin(),
                             this->slow_servers.end());
  for (const auto& [id, pool] : this->pools) {
    if (pool->outstanding > 0) {
      report.loads.push_back(
          {pool->load_key(), pool->outstanding, pool->pending_prompt_tokens});
    }
  }
  return report;
}

}  // namespace toucanhollow
