#include "relay/dispatcher.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "json_log/json_log.h"
#include "traffic/return_order.h"

namespace toucanhollow {
namespace {

// Waiting requests are looked at this often, beside each time room appears.
constexpr Duration kTick = Milliseconds(10);
// A refused caller comes back after the expected wait within these bounds.
constexpr Duration kShortestRetryAfter = Milliseconds(300);
constexpr Duration kLongestBusyRetryAfter = Milliseconds(1500);
// A broken group needs seconds to come back.
constexpr Duration kLongestRetryAfter = Seconds(5);
// Plain services answer faster than load reports travel, so the limit leaves
// room for what the reports still count.
constexpr int kPlainLimitFactor = 2;

int ServerLimit(const Service& service, const ListedServer& server) {
  return service.engine ? server.slots : server.slots * kPlainLimitFactor;
}

}  // namespace

Dispatcher::Dispatcher(EventLoop& loop, const RelaySettings& settings)
    : loop(loop), settings(settings), draws(HashText(settings.process.value)) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::TakeBelief(const Belief& belief) {
  this->belief = &belief;
  for (const auto& [id, server] : belief.servers) {
    auto& pool = this->pools[id];
    if (pool == nullptr || pool->server().born_ms != server.listed.born_ms ||
        pool->server().address != server.listed.address) {
      pool = std::make_shared<ServerPool>(server.listed);
    }
  }
  std::erase_if(this->pools, [&belief](const auto& entry) {
    return !belief.servers.contains(entry.first);
  });
  const TimePoint now = EventLoop::Now();
  for (const auto& [id, pool] : this->pools) {
    if (!IsUsable(belief.servers.at(id), belief.evacuated, now)) {
      pool->CloseKept();
    }
  }
  this->PumpAll();
}

void Dispatcher::PumpAll() {
  const TimePoint now = EventLoop::Now();
  std::vector<ServiceName> names;
  for (auto& [name, state] : this->services) {
    names.push_back(name);
    state.queue =
        SetHalted(std::move(state.queue), this->IsStanding(name), now);
  }
  for (const ServiceName& name : names) {
    this->Pump(name);
  }
}

std::vector<std::shared_ptr<ServerPool>> Dispatcher::PoolsOf(
    const ServiceName& service,
    TimePoint now) const {
  std::vector<std::shared_ptr<ServerPool>> found;
  for (const auto& [id, server] : this->belief->servers) {
    if (server.listed.service == service &&
        IsUsable(server, this->belief->evacuated, now)) {
      const auto& pool = this->pools.at(id);
      if (!pool->misdirected) {
        found.push_back(pool);
      }
    }
  }
  return found;
}

std::shared_ptr<ServerPool> Dispatcher::FindRoom(const PlacementOrder& order,
                                                 TimePoint now) {
  if (this->belief == nullptr || this->belief->traffic == nullptr) {
    return nullptr;
  }
  const auto service = this->belief->traffic->services.find(order.service);
  if (service == this->belief->traffic->services.end()) {
    return nullptr;
  }
  DropSilentHosts(this->board, now);
  std::vector<std::shared_ptr<ServerPool>> pools;
  std::set<std::uint32_t> slow = SlowServers(this->board, now);
  slow.insert(this->slow_servers.begin(), this->slow_servers.end());
  std::vector<ServerCandidate> fresh;
  std::vector<ServerCandidate> tried;
  for (const auto& pool : this->PoolsOf(order.service, now)) {
    if (this->IsStanding(*pool) ||
        !MaySend(pool->start_rate, service->second.cold_requests_per_s,
                 this->settings.cold, this->host_count, now)) {
      continue;
    }
    const ServerLoad others = LoadOf(this->board, pool->load_key());
    ServerCandidate candidate;
    candidate.id = pool->server().id;
    candidate.outstanding = pool->outstanding + others.outstanding;
    candidate.unread_tokens = pool->unread_tokens + others.unread_tokens;
    candidate.limit = ServerLimit(service->second, pool->server());
    candidate.local = pool->server().data_centre == this->settings.data_centre;
    candidate.slow = slow.contains(pool->load_key());
    candidate.health = pool->health;
    (order.tried.contains(candidate.id) ? tried : fresh).push_back(candidate);
  }
  PlacementRequest request;
  request.draw = this->draws++;
  for (const auto* candidates : {&fresh, &tried}) {
    const auto chosen = PlaceRequest(*candidates, request, now);
    if (chosen) {
      return this->pools.at((*candidates)[*chosen].id);
    }
  }
  return nullptr;
}

void Dispatcher::Take(const std::shared_ptr<ServerPool>& pool,
                      const PlacementOrder& order,
                      TimePoint now) {
  ++pool->outstanding;
  pool->unread_tokens += static_cast<int>(order.prompt_tokens);
  NoteSent(pool->start_rate, now);
}

void Dispatcher::Place(PlacementOrder order, PlacementCallbacks callbacks) {
  const TimePoint now = EventLoop::Now();
  const auto [entry, is_new] = this->services.try_emplace(order.service);
  ServiceState& state = entry->second;
  if (is_new) {
    state.queue =
        SetHalted(std::move(state.queue), this->IsStanding(order.service), now);
  }
  if (state.queue.size == 0) {
    if (const auto pool = this->FindRoom(order, now)) {
      this->Take(pool, order, now);
      callbacks.on_placed(pool);
      return;
    }
  }
  if (this->IsStanding(order.service) && !order.urgent) {
    callbacks.on_refused(ResultCode::kNoEndpointAvailable,
                         this->RetryAfter(order, now));
    return;
  }
  QueuedRequest queued;
  queued.priority = order.urgent ? Priority::kHigh : Priority::kLow;
  queued.request = order.request;
  queued.account = order.account;
  queued.cost = order.cost;
  queued.deadline = order.wait_until;
  const RequestId request = order.request;
  this->waiting.emplace(request,
                        Waiting{std::move(order), std::move(callbacks)});
  EnqueueDecision decision =
      Enqueue(std::move(state.queue), std::move(queued), now);
  state.queue = std::move(decision.queue);
  for (const QueueRefusal& refusal : decision.refused) {
    this->Refuse(refusal.request, refusal.code);
  }
  this->StartTicking();
}

void Dispatcher::Refuse(const RequestId& request, ResultCode code) {
  const auto found = this->waiting.find(request);
  if (found == this->waiting.end()) {
    return;
  }
  const Waiting refused = std::move(found->second);
  this->waiting.erase(found);
  refused.callbacks.on_refused(
      code, this->RetryAfter(refused.order, EventLoop::Now()));
}

void Dispatcher::Pump(const ServiceName& service) {
  const TimePoint now = EventLoop::Now();
  ServiceState& state = this->services[service];
  while (state.queue.size > 0) {
    PlacementOrder any;
    any.service = service;
    if (this->FindRoom(any, now) == nullptr) {
      return;
    }
    DequeueDecision decision = Dequeue(std::move(state.queue), now);
    state.queue = std::move(decision.queue);
    for (const QueueRefusal& refusal : decision.refused) {
      this->Refuse(refusal.request, refusal.code);
    }
    if (!decision.request) {
      continue;
    }
    const auto found = this->waiting.find(decision.request->request);
    if (found == this->waiting.end()) {
      continue;
    }
    const auto pool = this->FindRoom(found->second.order, now);
    if (pool == nullptr) {
      this->Refuse(found->first, ResultCode::kNoEndpointAvailable);
      continue;
    }
    const Waiting placed = std::move(found->second);
    this->waiting.erase(found);
    this->Take(pool, placed.order, now);
    placed.callbacks.on_placed(pool);
  }
}

void Dispatcher::Withdraw(const RequestId& request) {
  const auto found = this->waiting.find(request);
  if (found == this->waiting.end()) {
    return;
  }
  ServiceState& state = this->services[found->second.order.service];
  state.queue = toucanhollow::Withdraw(std::move(state.queue),
                                       found->second.order.account, request);
  this->waiting.erase(found);
}

void Dispatcher::Release(ServerPool& pool, int unread_tokens) {
  --pool.outstanding;
  pool.unread_tokens -= unread_tokens;
  const ServiceName service = pool.server().service;
  Post(this->loop, [this, service] { this->Pump(service); });
}

void Dispatcher::StartTicking() {
  if (this->timer == nullptr && !this->waiting.empty()) {
    this->timer = std::make_unique<Timer>(this->loop, kTick, kTick,
                                          [this] { this->Tick(); });
  }
}

void Dispatcher::Tick() {
  const TimePoint now = EventLoop::Now();
  std::vector<RequestId> expired;
  std::set<ServiceName> names;
  for (const auto& [request, entry] : this->waiting) {
    if (now >= entry.order.wait_until) {
      expired.push_back(request);
    }
    names.insert(entry.order.service);
  }
  for (const RequestId& request : expired) {
    const auto found = this->waiting.find(request);
    if (found == this->waiting.end()) {
      continue;
    }
    ServiceState& state = this->services[found->second.order.service];
    state.queue = toucanhollow::Withdraw(std::move(state.queue),
                                         found->second.order.account, request);
    this->Refuse(request, ResultCode::kOverloaded);
  }
  for (const ServiceName& name : names) {
    this->Pump(name);
  }
  if (this->waiting.empty()) {
    this->timer.reset();
  }
}

Duration Dispatcher::RetryAfter(const PlacementOrder& order, TimePoint now) {
  // A service that stands comes back after seconds, if at all in time.
  Duration wait = kLongestRetryAfter;
  if (!this->IsStanding(order.service)) {
    wait = kShortestRetryAfter;
    const auto found = this->services.find(order.service);
    if (found != this->services.end()) {
      wait += ExpectedWait(found->second.queue, {}, Priority::kLow, 1, now);
    }
    wait = std::clamp(wait, kShortestRetryAfter, kLongestBusyRetryAfter);
    // Spread over the same time again, so that callers do not return together.
    constexpr std::uint64_t kSteps = 1000;
    const auto step = static_cast<Duration::rep>(
        HashText(std::to_string(this->draws++)) % kSteps);
    wait += wait * step / static_cast<Duration::rep>(kSteps);
  }
  return ReturnAfter(wait, order.deadline - now);
}

void Dispatcher::TakeGroups(const GroupRegistry& groups) {
  this->groups = &groups;
  std::set<GroupKey> standing;
  for (const auto& [key, group] : groups.groups) {
    if (!group.open) {
      standing.insert(key);
    }
    if (standing.contains(key) != this->standing_groups.contains(key)) {
      LogJsonNow("model_group_changed", {{"group", std::string_view(key.name)},
                                         {"epoch", group.epoch},
                                         {"standing", !group.open}});
    }
  }
  this->standing_groups = std::move(standing);
  this->PumpAll();
}

bool Dispatcher::IsStanding(const ServerPool& pool) const {
  return this->groups != nullptr &&
         IsGroupHalted(*this->groups, pool.server().id);
}

bool Dispatcher::MakesNoPasses(const ServerPool& pool, TimePoint now) const {
  return this->IsStanding(pool) ||
         (this->groups != nullptr &&
          IsGroupStalled(*this->groups, pool.server().id, now));
}

bool Dispatcher::IsStanding(const ServiceName& service) const {
  if (this->belief == nullptr || this->standing_groups.empty()) {
    return false;
  }
  const auto pools = this->PoolsOf(service, EventLoop::Now());
  return !pools.empty() && std::ranges::all_of(pools, [this](const auto& pool) {
    return this->IsStanding(*pool);
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

void Dispatcher::NoteRequestFor(const ServiceName& service) {
  NoteRequest(this->services[service].retries, this->settings.retry,
              EventLoop::Now());
}

bool Dispatcher::SpendRetryFor(const ServiceName& service) {
  return SpendRetry(this->services[service].retries, this->settings.retry,
                    this->host_count, EventLoop::Now());
}

void Dispatcher::TakeLoadReport(const std::string& host,
                                const HostLoadReport& report) {
  TakeReport(this->board, host, report, EventLoop::Now());
}

HostLoadReport Dispatcher::MakeLoadReport() const {
  HostLoadReport report;
  report.slow_servers.assign(this->slow_servers.begin(),
                             this->slow_servers.end());
  for (const auto& [id, pool] : this->pools) {
    if (pool->outstanding > 0) {
      report.loads.push_back(
          {pool->load_key(), pool->outstanding, pool->unread_tokens});
    }
  }
  return report;
}

}  // namespace toucanhollow
