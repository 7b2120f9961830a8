#include "policy_bench/fleet.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "admission/admit.h"
#include "admission/grants.h"
#include "admission/health.h"
#include "admission/service_state.h"
#include "base/hash.h"
#include "overload/budget.h"
#include "policy_bench/event_schedule.h"
#include "policy_bench/random_stream.h"
#include "routing/baselines.h"

namespace toucanhollow {
namespace {

constexpr int kTokensInBlock = 16;
constexpr Duration kReportInterval = Milliseconds(500);
constexpr Duration kReportLag = Milliseconds(250);
constexpr Duration kSampleInterval = Milliseconds(100);
constexpr Duration kFillTime = Seconds(10);
// Wait of a host that found no endpoint, and of a baseline router after a
// refusal, before the request goes again.
constexpr Duration kBackoff = Milliseconds(10);
// A lost link is noticed after this time.
constexpr Duration kLinkLoss = Milliseconds(50);
constexpr Duration kI3Bound = Seconds(3);

struct ModelRequest {
  int host = 0;
  TimePoint deadline;
  std::vector<std::uint64_t> blocks;
  int prompt_tokens = 0;
  int output_tokens = 0;
  int attempts = 0;
  std::vector<EndpointName> excluded;
};

struct RunningAttempt {
  int request = 0;
  int host = 0;
  TimePoint started;
  // Raised when the end is scheduled anew.
  int version = 0;
  TimePoint ends;
  Duration first_token{0};
  double step_ms = 0;
  int prefill_tokens = 0;
};

struct Agent {
  int data_centre = 0;
  bool alive = true;
  AdmissionState admission;
  EngineModel engine;
  std::map<DispatchId, RunningAttempt> running;
  std::map<DispatchId, std::pair<int, int>> waiting;  // request, host
  std::vector<int> demand;                            // by host
  std::uint64_t cache_sequence = 0;
};

struct Host {
  int data_centre = 0;
  RoutingView view;
  PrefixIndex index;
  FairQueue queue;
  Budget retries = MakeRetryBudget();
  std::uint64_t round = 0;
  TimePoint blocked_until;
  bool retry_scheduled = false;
  std::map<DispatchId, std::pair<int, int>> sent;  // request, agent
};

EndpointName NameOf(int agent) {
  return EndpointName{"endpoint-" + std::to_string(1000 + agent)};
}

ProcessName HostNameOf(int host) {
  return ProcessName{"entry-" + std::to_string(host)};
}

DataCentreName DataCentreNameOf(int data_centre) {
  return DataCentreName{"dc-" + std::to_string(data_centre)};
}

Duration FromMs(double ms) {
  return Duration(static_cast<Duration::rep>(ms * 1000));
}

// The model mutates one object from many scheduled events, unlike the deciding
// functions that it measures.
class Fleet {
 public:
  explicit Fleet(const FleetConfig& config);
  FleetResult Run();

 private:
  Duration Delay(int host, int agent) const;
  void ScheduleArrival();
  void Arrive();
  void End(int request, ResultCode code);
  void EndRefused(const std::vector<QueueRefusal>& refused);
  QueuedRequest Queued(int request) const;
  void Pump(int host);
  int Choose(Host& host, const ModelRequest& request);
  void ScheduleRetry(int host);
  void Send(int host, int agent, int request);
  void Receive(int agent, int host, int request, const DispatchId& dispatch);
  void Start(int agent, int host, int request, const DispatchId& dispatch);
  void ScheduleEnd(int agent, const DispatchId& dispatch);
  void Finish(int agent, const DispatchId& dispatch, CompletionOutcome outcome);
  void StartWaiting(int agent);
  void Answer(int host, const DispatchId& dispatch);
  void Refuse(int host, int agent, const DispatchId& dispatch, ResultCode code);
  void Fail(int host, int agent, const DispatchId& dispatch);
  void FailEngine(int agent);
  void SendCacheEvents(int agent, const CacheChange& change);
  void Beat(int agent);
  void Report(int agent);
  void Sample();
  void TurnCold(int agent);
  void SetOut(bool out);
  void SetAbrupt(bool out);

  FleetConfig config;
  RandomStream random;
  EventSchedule schedule;
  std::vector<Agent> agents;
  std::vector<Host> hosts;
  std::vector<ModelRequest> requests;
  FleetResult result;
  std::int64_t load_samples = 0;
  std::optional<TimePoint> out_since;
};

Fleet::Fleet(const FleetConfig& config)
    : config(config), random{config.seed * 7919} {
  for (int data_centre = 0; data_centre < std::ssize(config.endpoints);
       ++data_centre) {
    for (int i = 0; i < config.endpoints[data_centre]; ++i) {
      Agent agent;
      agent.data_centre = data_centre;
      AdmissionParameters parameters = config.admission;
      parameters.full_limit = config.engine.full_limit;
      parameters.cold_limit = config.fixed_limit ? config.engine.full_limit
                                                 : config.engine.cold_limit;
      agent.admission =
          MakeAdmissionState(parameters, Incarnation{1}, TimePoint());
      agent.engine.profile = config.engine;
      agent.engine.bears = config.engine.cold_limit;
      if (config.start_warm) {
        agent.admission.limit = config.engine.full_limit;
        agent.admission.admit_after = TimePoint();
        agent.admission.orphaned_requests_known = true;
        agent.engine.bears = config.engine.full_limit;
      }
      agent.admission.last_health_sample = TimePoint();
      agent.demand.resize(config.entry_hosts);
      agents.push_back(std::move(agent));
    }
  }
  for (int i = 0; i < config.entry_hosts; ++i) {
    Host host;
    host.data_centre = i % static_cast<int>(config.endpoints.size());
    host.queue.parameters = config.fair_queue;
    if (config.queue == EntryQueueKind::kArrival) {
      host.queue.parameters = {1 << 30, 1 << 30, 1.0};
    }
    for (int agent = 0; agent < std::ssize(agents); ++agent) {
      host.view = AddEndpoint(std::move(host.view), NameOf(agent),
                              DataCentreNameOf(agents[agent].data_centre));
    }
    for (int dc = 0; dc < std::ssize(config.endpoints); ++dc) {
      host.view = SetDataCentreView(
          std::move(host.view), DataCentreNameOf(dc),
          {dc == host.data_centre ? config.within_delay : config.between_delay,
           false});
    }
    hosts.push_back(std::move(host));
  }
}

Duration Fleet::Delay(int host, int agent) const {
  return hosts[host].data_centre == agents[agent].data_centre
             ? config.within_delay
             : config.between_delay;
}

void Fleet::ScheduleArrival() {
  const double gap_ms = NextExponential(random, 1000.0 / config.mix.rate_per_s);
  RunAfter(schedule, FromMs(gap_ms), [this] {
    if (schedule.now < TimePoint(config.duration)) {
      Arrive();
      ScheduleArrival();
    }
  });
}

void Fleet::Arrive() {
  const RequestMix& mix = config.mix;
  const int number = static_cast<int>(requests.size());
  double share = NextUnit(random);
  int account = 0;
  while (account + 1 < std::ssize(mix.account_shares) &&
         share >= mix.account_shares[account]) {
    share -= mix.account_shares[account++];
  }
  ModelRequest request;
  request.host = static_cast<int>(NextUnit(random) * config.entry_hosts);
  request.deadline = schedule.now + mix.deadline;
  request.prompt_tokens = mix.shared_tokens + mix.unique_tokens;
  request.output_tokens =
      static_cast<int>(NextBetween(random, mix.min_output, mix.max_output + 1));
  const auto chosen = static_cast<int>(NextUnit(random) * mix.templates);
  std::uint64_t hash =
      HashText(std::to_string(account) + "/" + std::to_string(chosen));
  for (int token = 0; token + kTokensInBlock <= request.prompt_tokens;
       token += kTokensInBlock) {
    hash = HashText(
        token < mix.shared_tokens ? "shared" : std::to_string(number), hash);
    request.blocks.push_back(hash);
  }
  RequestResult outcome;
  outcome.arrival = schedule.now;
  outcome.account = account;
  outcome.cost = request.output_tokens;
  result.requests.push_back(outcome);
  const int host = request.host;
  requests.push_back(std::move(request));
  EnqueueDecision decision =
      Enqueue(std::move(hosts[host].queue), Queued(number), schedule.now);
  hosts[host].queue = std::move(decision.queue);
  EndRefused(decision.refused);
  Pump(host);
}

QueuedRequest Fleet::Queued(int number) const {
  const ModelRequest& request = requests[number];
  QueuedRequest queued;
  queued.request = RequestId{std::to_string(number)};
  queued.cost = request.output_tokens;
  if (config.queue == EntryQueueKind::kArrival) {
    queued.account = AccountName{"all"};
    return queued;
  }
  queued.account =
      AccountName{"account-" + std::to_string(result.requests[number].account)};
  queued.deadline = request.deadline;
  queued.expected_service =
      config.engine.plain_ms > 0
          ? FromMs(config.engine.plain_ms)
          : FromMs(request.prompt_tokens * config.engine.prefill_ms_per_token +
                   request.output_tokens * config.engine.full_step_ms);
  return queued;
}

void Fleet::End(int request, ResultCode code) {
  RequestResult& outcome = result.requests[request];
  if (outcome.ended) {
    return;
  }
  outcome.ended = true;
  outcome.code = code;
  outcome.total = schedule.now - outcome.arrival;
  outcome.in_time = code == ResultCode::kAnswered &&
                    schedule.now <= requests[request].deadline;
}

void Fleet::EndRefused(const std::vector<QueueRefusal>& refused) {
  for (const QueueRefusal& refusal : refused) {
    End(std::stoi(refusal.request.value), refusal.code);
  }
}

int Fleet::Choose(Host& host, const ModelRequest& request) {
  switch (config.router) {
    case RouterKind::kRoundRobin:
      return ChooseRoundRobin(host.view, host.round++);
    case RouterKind::kLeastOutstanding:
      return ChooseLeastOutstanding(host.view, NextUnit(random));
    case RouterKind::kTwoChoices: {
      const double first = NextUnit(random);
      return ChooseBestOfTwo(host.view, first, NextUnit(random));
    }
    case RouterKind::kLeastReported: {
      int best = -1;
      for (int i = 0; i < std::ssize(host.view.endpoints); ++i) {
        const EndpointView& endpoint = host.view.endpoints[i];
        // It goes on when an endpoint refused since its report.
        const bool refused = endpoint.full_refusals > 0 &&
                             endpoint.last_full_refusal >= endpoint.reported_at;
        if (IsEligible(host.view, endpoint) && !refused &&
            (best < 0 ||
             endpoint.report.load < host.view.endpoints[best].report.load)) {
          best = i;
        }
      }
      return best;
    }
    case RouterKind::kScored:
      break;
  }
  const std::vector<PrefixMatch> matches =
      MatchPrefix(host.index, request.blocks, schedule.now);
  RoutingRequest routed;
  routed.prompt_tokens = request.prompt_tokens;
  routed.expected_output_tokens =
      config.engine.plain_ms > 0
          ? 0
          : (config.mix.min_output + config.mix.max_output) / 2;
  routed.matches = matches;
  routed.excluded = request.excluded;
  const RoutingDecision decision = ChooseEndpoint(
      host.view, config.routing, routed, NextUnit(random), schedule.now);
  return decision.has_free_slot ? decision.endpoint : -1;
}

void Fleet::Pump(int number) {
  Host& host = hosts[number];
  while (host.queue.size > 0 && host.blocked_until <= schedule.now) {
    DequeueDecision decision = Dequeue(std::move(host.queue), schedule.now);
    host.queue = std::move(decision.queue);
    EndRefused(decision.refused);
    if (!decision.request) {
      return;
    }
    const int request = std::stoi(decision.request->request.value);
    const int agent = Choose(host, requests[request]);
    if (agent < 0) {
      requests[request].excluded.clear();
      host.queue = Requeue(std::move(host.queue), std::move(*decision.request),
                           schedule.now);
      ScheduleRetry(number);
      return;
    }
    Send(number, agent, request);
  }
}

// A slot may be expected later without any message that says so.
void Fleet::ScheduleRetry(int number) {
  if (std::exchange(hosts[number].retry_scheduled, true)) {
    return;
  }
  RunAfter(schedule, kBackoff, [this, number] {
    hosts[number].retry_scheduled = false;
    Pump(number);
  });
}

void Fleet::Send(int number, int agent, int request) {
  Host& host = hosts[number];
  const DispatchId dispatch{std::to_string(request) + "." +
                            std::to_string(++requests[request].attempts)};
  host.view =
      RecordDispatchSent(std::move(host.view), NameOf(agent), schedule.now);
  if (config.engine.cache_blocks > 0) {
    host.index = RecordPrompt(std::move(host.index), NameOf(agent),
                              requests[request].blocks, schedule.now);
  }
  host.sent[dispatch] = {request, agent};
  ++result.dispatches;
  RunAfter(schedule, Delay(number, agent),
           [this, agent, number, request, dispatch] {
             Receive(agent, number, request, dispatch);
           });
}

void Fleet::Receive(int number,
                    int host,
                    int request,
                    const DispatchId& dispatch) {
  Agent& agent = agents[number];
  if (!agent.alive) {
    return;  // The lost link fails the attempt.
  }
  ++agent.demand[host];
  const Duration remaining = config.queue == EntryQueueKind::kArrival
                                 ? Duration::max()
                                 : requests[request].deadline - schedule.now;
  AdmissionDecision decision = Admit(
      std::move(agent.admission),
      {dispatch, agent.admission.incarnation, HostNameOf(host), remaining},
      schedule.now);
  agent.admission = std::move(decision.state);
  switch (decision.verdict) {
    case AdmissionVerdict::kRun:
      Start(number, host, request, dispatch);
      break;
    case AdmissionVerdict::kWait:
      agent.waiting[dispatch] = {request, host};
      break;
    case AdmissionVerdict::kRefused:
      Refuse(host, number, dispatch, decision.code);
      break;
  }
}

void Fleet::Start(int number,
                  int host,
                  int request,
                  const DispatchId& dispatch) {
  Agent& agent = agents[number];
  if (out_since && config.outage->data_centre == agent.data_centre) {
    ++(schedule.now - *out_since > kI3Bound ? result.starts_after_bound
                                            : result.starts_within_bound);
  }
  EngineModel& engine = agent.engine;
  WarmEngine(engine, schedule.now);
  ++engine.running;
  // Half a request of rounding is no overload.
  if (engine.running > engine.bears + 0.5) {
    ++result.starts_beyond;
  }
  RunningAttempt attempt;
  attempt.request = request;
  attempt.host = host;
  attempt.started = schedule.now;
  double total_ms = 0;
  if (config.engine.plain_ms > 0) {
    total_ms = ElapsedMs(
        engine, config.engine.plain_ms * NextBetween(random, 0.5, 1.5));
    attempt.first_token = FromMs(total_ms);
  } else {
    const ModelRequest& model = requests[request];
    int matched = 0;
    if (config.engine.cache_blocks > 0) {
      const CacheChange change = UseCache(engine, model.blocks);
      matched = change.matched_blocks * kTokensInBlock;
      SendCacheEvents(number, change);
    }
    attempt.prefill_tokens = model.prompt_tokens - matched;
    const double warm_step_ms = StepMs(engine) / Slowdown(engine);
    const double warm_prefill_ms =
        attempt.prefill_tokens * config.engine.prefill_ms_per_token;
    const double first_ms = ElapsedMs(engine, warm_prefill_ms + warm_step_ms);
    total_ms =
        ElapsedMs(engine, warm_prefill_ms + warm_step_ms * model.output_tokens);
    attempt.first_token = FromMs(first_ms);
    attempt.step_ms =
        (total_ms - first_ms) / std::max(1, model.output_tokens - 1);
    result.matched_tokens += matched;
    result.prompt_tokens += model.prompt_tokens;
  }
  attempt.ends = schedule.now + FromMs(total_ms);
  RunAfter(schedule, attempt.first_token + Delay(host, number),
           [this, request] {
             RequestResult& outcome = result.requests[request];
             if (outcome.first_token == Duration(0)) {
               outcome.first_token = schedule.now - outcome.arrival;
             }
           });
  agent.running[dispatch] = attempt;
  // Far above what it bears, an endpoint falls over.
  if (engine.running > 2 * engine.bears + 2 &&
      engine.bears < engine.profile.full_limit) {
    FailEngine(number);
    return;
  }
  ScheduleEnd(number, dispatch);
}

void Fleet::ScheduleEnd(int agent, const DispatchId& dispatch) {
  const RunningAttempt& attempt = agents[agent].running.at(dispatch);
  RunAfter(schedule, attempt.ends - schedule.now,
           [this, agent, dispatch, version = attempt.version] {
             const auto found = agents[agent].running.find(dispatch);
             if (found != agents[agent].running.end() &&
                 found->second.version == version) {
               Finish(agent, dispatch, CompletionOutcome::kAnswered);
             }
           });
}

void Fleet::Finish(int number,
                   const DispatchId& dispatch,
                   CompletionOutcome outcome) {
  Agent& agent = agents[number];
  const RunningAttempt attempt = agent.running.at(dispatch);
  agent.running.erase(dispatch);
  WarmEngine(agent.engine, schedule.now);
  --agent.engine.running;
  agent.admission =
      RecordCompletion(std::move(agent.admission),
                       {dispatch, outcome, attempt.first_token,
                        attempt.prefill_tokens, FromMs(attempt.step_ms)},
                       schedule.now);
  const int host = attempt.host;
  RunAfter(schedule, Delay(host, number),
           [this, host, number, dispatch, outcome] {
             if (outcome == CompletionOutcome::kAnswered) {
               Answer(host, dispatch);
             } else {
               Fail(host, number, dispatch);
             }
           });
  StartWaiting(number);
}

void Fleet::StartWaiting(int number) {
  Agent& agent = agents[number];
  if (agent.waiting.empty()) {
    return;
  }
  WaitingDecision decision =
      StartOrRefuseWaiting(std::move(agent.admission), schedule.now);
  agent.admission = std::move(decision.state);
  for (const DispatchId& dispatch : decision.started) {
    const auto [request, host] = agent.waiting.at(dispatch);
    agent.waiting.erase(dispatch);
    Start(number, host, request, dispatch);
  }
  for (const RefusedDispatch& refused : decision.refused) {
    const auto [request, host] = agent.waiting.at(refused.dispatch);
    agent.waiting.erase(refused.dispatch);
    Refuse(host, number, refused.dispatch, refused.code);
  }
}

void Fleet::Answer(int number, const DispatchId& dispatch) {
  Host& host = hosts[number];
  const auto found = host.sent.find(dispatch);
  if (found == host.sent.end()) {
    return;
  }
  const auto [request, agent] = found->second;
  host.sent.erase(found);
  host.view = RecordDispatchEnded(std::move(host.view), NameOf(agent));
  host.retries = RecordRequest(host.retries);
  End(request, ResultCode::kAnswered);
  Pump(number);
}

// The refusal travels back; the request was not run and goes again.
void Fleet::Refuse(int number,
                   int agent,
                   const DispatchId& dispatch,
                   ResultCode code) {
  ++result.agent_refusals;
  RunAfter(
      schedule, Delay(number, agent), [this, number, agent, dispatch, code] {
        Host& host = hosts[number];
        const auto found = host.sent.find(dispatch);
        if (found == host.sent.end()) {
          return;
        }
        const int request = found->second.first;
        host.sent.erase(found);
        if (code == ResultCode::kEndpointFull ||
            code == ResultCode::kDeadlineTooShort) {
          host.view = RecordFullRefusal(std::move(host.view), NameOf(agent));
        } else {
          requests[request].excluded.push_back(NameOf(agent));
        }
        host.view = RecordDispatchEnded(std::move(host.view), NameOf(agent));
        if (config.router != RouterKind::kScored) {
          host.blocked_until = schedule.now + kBackoff;
          RunAfter(schedule, kBackoff, [this, number] { Pump(number); });
        }
        host.queue =
            Requeue(std::move(host.queue), Queued(request), schedule.now);
        Pump(number);
      });
}

// The attempt broke off; prompts are repeatable within the retry budget.
void Fleet::Fail(int number, int agent, const DispatchId& dispatch) {
  Host& host = hosts[number];
  const auto found = host.sent.find(dispatch);
  if (found == host.sent.end()) {
    return;
  }
  const int request = found->second.first;
  host.sent.erase(found);
  host.view = RecordDispatchEnded(std::move(host.view), NameOf(agent));
  const SpendDecision spent = SpendRetry(host.retries);
  host.retries = spent.budget;
  if (!spent.allowed) {
    End(request, ResultCode::kOutcomeUnknown);
    return;
  }
  ++result.retries;
  requests[request].excluded.push_back(NameOf(agent));
  host.queue = Requeue(std::move(host.queue), Queued(request), schedule.now);
  Pump(number);
}

void Fleet::FailEngine(int number) {
  Agent& agent = agents[number];
  ++result.engine_failures;
  std::vector<DispatchId> running;
  for (const auto& [dispatch, attempt] : agent.running) {
    running.push_back(dispatch);
  }
  ++agent.engine.incarnation;
  agent.engine.bears = agent.engine.profile.cold_limit;
  agent.engine.cache.clear();
  agent.engine.cache_order.clear();
  for (const DispatchId& dispatch : running) {
    if (agent.running.contains(dispatch)) {
      Finish(number, dispatch, CompletionOutcome::kError);
    }
  }
}

void Fleet::SendCacheEvents(int number, const CacheChange& change) {
  Agent& agent = agents[number];
  // Late by up to a second, and one in fifty is lost.
  const Duration delay = FromMs(NextBetween(random, 100, 1000));
  for (const auto& [kind, blocks] :
       {std::pair(CacheEvent::Kind::kStored, &change.stored),
        std::pair(CacheEvent::Kind::kRemoved, &change.removed)}) {
    if (blocks->empty()) {
      continue;
    }
    const CacheEvent event{NameOf(number),
                           Incarnation{agent.engine.incarnation},
                           ++agent.cache_sequence, kind, *blocks};
    for (int host = 0; host < std::ssize(hosts); ++host) {
      if (NextUnit(random) < 0.02) {
        continue;
      }
      RunAfter(schedule, delay, [this, host, event] {
        hosts[host].index =
            ApplyCacheEvent(std::move(hosts[host].index), event, schedule.now);
      });
    }
  }
}

void Fleet::Beat(int number) {
  Agent& agent = agents[number];
  RunAfter(schedule, config.heartbeat, [this, number] { Beat(number); });
  if (!agent.alive) {
    return;
  }
  std::vector<GrantDemand> demand;
  demand.reserve(hosts.size());
  for (int host = 0; host < std::ssize(hosts); ++host) {
    demand.push_back({HostNameOf(host), std::exchange(agent.demand[host], 0)});
  }
  GrantDecision grants =
      IssueGrants(std::move(agent.admission), std::move(demand), schedule.now);
  agent.admission = std::move(grants.state);
  const AdmissionSummary summary =
      SummarizeAdmission(agent.admission, schedule.now);
  const LoadReport report{agent.admission.incarnation,
                          summary.limit,
                          summary.full_limit,
                          summary.in_flight + summary.waiting,
                          summary.granted,
                          summary.takes_work,
                          summary.step,
                          summary.mean_service};
  for (int host = 0; host < std::ssize(hosts); ++host) {
    const auto own = std::ranges::find(grants.issued, HostNameOf(host),
                                       &IssuedGrant::holder);
    RunAfter(schedule, Delay(host, number),
             [this, host, number, report, grant = *own] {
               RoutingView& view = hosts[host].view;
               view = ApplyLoadReport(std::move(view), NameOf(number), report,
                                      schedule.now);
               view = ApplyGrant(std::move(view), NameOf(number), grant.count,
                                 grant.lifetime, schedule.now);
               view = SetSuspected(std::move(view), NameOf(number), false);
               Pump(host);
             });
  }
  StartWaiting(number);
}

void Fleet::Report(int number) {
  Agent& agent = agents[number];
  RunAfter(schedule, kReportInterval, [this, number] { Report(number); });
  WarmEngine(agent.engine, schedule.now);
  const EngineReport report{
      Incarnation{agent.engine.incarnation}, agent.engine.running,
      agent.engine.running > 0 && config.engine.plain_ms == 0
          ? FromMs(StepMs(agent.engine))
          : Duration(0)};
  RunAfter(schedule, kReportLag, [this, number, report] {
    AdmissionState& admission = agents[number].admission;
    admission = RecordEngineReport(std::move(admission), report, schedule.now);
  });
}

void Fleet::Sample() {
  RunAfter(schedule, kSampleInterval, [this] { Sample(); });
  WarmEngine(agents[0].engine, schedule.now);
  result.samples.push_back({schedule.now, agents[0].admission.limit,
                            agents[0].engine.running, agents[0].engine.bears});
  double sum = 0;
  double most = 0;
  for (const Agent& agent : agents) {
    sum += agent.engine.running;
    most = std::max<double>(most, agent.engine.running);
  }
  // The first seconds fill an empty fleet.
  if (sum > 0 && schedule.now >= TimePoint(kFillTime)) {
    const double mean = sum / static_cast<double>(agents.size());
    ++load_samples;
    result.load_peak_to_mean += (most / mean - result.load_peak_to_mean) /
                                static_cast<double>(load_samples);
  }
}

void Fleet::TurnCold(int number) {
  Agent& agent = agents[number];
  WarmEngine(agent.engine, schedule.now);
  agent.engine.bears = agent.engine.profile.cold_limit;
  for (auto& [dispatch, attempt] : agent.running) {
    const double left_ms = ToMilliseconds(attempt.ends - schedule.now);
    const double slow_ms = ElapsedMs(agent.engine, left_ms);
    attempt.step_ms *= std::max(1.0, slow_ms / left_ms);
    attempt.ends = schedule.now + FromMs(slow_ms);
    ++attempt.version;
    ScheduleEnd(number, dispatch);
  }
}

// Each process reads the record at its own time.
void Fleet::SetOut(bool out) {
  out_since = out ? std::optional(schedule.now) : std::nullopt;
  const int data_centre = config.outage->data_centre;
  for (int i = 0; i < std::ssize(agents); ++i) {
    if (agents[i].data_centre == data_centre) {
      if (!out) {
        // Its caches are gone by then.
        TurnCold(i);
      }
      RunAfter(
          schedule,
          FromMs(NextBetween(random, 10, ToMilliseconds(config.record_delay))),
          [this, i, out] {
            AdmissionState& admission = agents[i].admission;
            admission =
                SetDataCentreOut(std::move(admission), out, schedule.now);
            StartWaiting(i);
          });
    }
  }
  for (int i = 0; i < std::ssize(hosts); ++i) {
    RunAfter(
        schedule,
        FromMs(NextBetween(random, 10, ToMilliseconds(config.record_delay))),
        [this, i, data_centre, out] {
          const Duration delay = hosts[i].data_centre == data_centre
                                     ? config.within_delay
                                     : config.between_delay;
          hosts[i].view =
              SetDataCentreView(std::move(hosts[i].view),
                                DataCentreNameOf(data_centre), {delay, out});
          Pump(i);
        });
  }
}

void Fleet::SetAbrupt(bool out) {
  for (int i = 0; i < std::ssize(agents); ++i) {
    Agent& agent = agents[i];
    if (agent.data_centre != config.outage->data_centre) {
      continue;
    }
    agent.alive = !out;
    if (!out) {
      const Incarnation next{agent.admission.incarnation.value + 1};
      agent.admission =
          MakeAdmissionState(agent.admission.parameters, next, schedule.now);
      continue;
    }
    agent.running.clear();
    agent.waiting.clear();
    ++agent.engine.incarnation;
    agent.engine.running = 0;
    agent.engine.bears = agent.engine.profile.cold_limit;
    agent.engine.cache.clear();
    agent.engine.cache_order.clear();
    for (int number = 0; number < std::ssize(hosts); ++number) {
      RunAfter(schedule, kLinkLoss, [this, number, i] {
        Host& host = hosts[number];
        LoadReport none = host.view.endpoints[i].report;
        none.takes_work = false;
        host.view = ApplyLoadReport(std::move(host.view), NameOf(i), none,
                                    schedule.now);
        std::vector<DispatchId> lost;
        for (const auto& [dispatch, sent] : host.sent) {
          if (sent.second == i) {
            lost.push_back(dispatch);
          }
        }
        for (const DispatchId& dispatch : lost) {
          Fail(number, i, dispatch);
        }
      });
    }
  }
}

FleetResult Fleet::Run() {
  for (int i = 0; i < std::ssize(agents); ++i) {
    const double phase_ms =
        config.aligned_heartbeats
            ? 0
            : NextBetween(random, 0, ToMilliseconds(config.heartbeat));
    // A first report at once, as on a new link.
    const Duration interval = config.heartbeat;
    config.heartbeat = FromMs(phase_ms);
    Beat(i);
    config.heartbeat = interval;
    RunAfter(schedule, FromMs(NextBetween(random, 0, 500)),
             [this, i] { Report(i); });
  }
  Sample();
  RunAfter(schedule, Milliseconds(10), [this] { ScheduleArrival(); });
  if (config.outage) {
    for (const bool out : {true, false}) {
      RunAfter(schedule, out ? config.outage->out_at : config.outage->back_at,
               [this, out] {
                 if (config.outage->abrupt) {
                   SetAbrupt(out);
                 } else {
                   SetOut(out);
                 }
               });
    }
  }
  if (config.cold_at) {
    RunAfter(schedule, *config.cold_at, [this] { TurnCold(0); });
  }
  // Requests that arrive last may take their whole deadline.
  RunUntil(schedule, TimePoint(config.duration + 2 * config.mix.deadline));
  return std::move(result);
}

}  // namespace

FleetResult RunFleet(const FleetConfig& config) {
  return Fleet(config).Run();
}

}  // namespace toucanhollow
