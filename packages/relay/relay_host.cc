#include "relay/relay_host.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "json_log/json_log.h"
#include "process_limits/descriptors.h"
#include "process_limits/process_memory.h"
#include "relay/agent_address.h"
#include "relay/max_sessions.h"
#include "relay/receive_buffer.h"

namespace toucanhollow {
namespace {

constexpr Duration kSweepPeriod = Milliseconds(100);
// Time between the last answers and the close of connections if the process did
// not run when the answers were due.
constexpr Duration kLateCloseTime = Milliseconds(5);
// Timers may be early by their rounding.
constexpr Duration kTimerMargin = Milliseconds(1);
// Sweeps that are further apart show that the process did not run.
constexpr Duration kMinPause = Milliseconds(400);
// A host that has just started is not ready before it knows the quarantines of
// the others, but no longer than this.
constexpr Duration kQuarantineWait = Seconds(1);
// Connections beyond the limit, or without memory, that are open to be told so.
// Further ones are closed without an answer.
constexpr std::size_t kMaxRefusedSessions = 32;

}  // namespace

RelayHost::RelayHost(EventLoop& loop,
                     RelaySettings settings,
                     const RelayCodec& codec,
                     const EngineMapCodec& engine_codec)
    : loop(loop),
      settings(std::move(settings)),
      codec(codec),
      engine_codec(engine_codec),
      client(loop),
      memory(loop, this->metrics, this->settings.memory_bytes),
      permits(loop, this->metrics),
      silence([this](const ListedServer& server,
                     std::function<void(bool answers)> done) {
        // An agent that does not run is as silent as a machine that stands
        // still.
        this->AskAgent(
            server, true,
            [done = std::move(done)](const std::optional<RankAnswer>& answer) {
              // An engine may be slow on a machine that runs.
              done(!answer || answer->agent_answered || answer->reply.report);
            });
      }),
      quarantine(loop, this->metrics),
      dispatcher(loop, this->settings, this->permits, this->quarantine) {}

RelayHost::~RelayHost() = default;

bool RelayHost::IsReady() const {
  return !this->stop && this->view_task->view().traffic != nullptr &&
         this->KnowsQuarantines(EventLoop::Now());
}

bool RelayHost::KnowsQuarantines(TimePoint now) const {
  return this->quarantine.is_known() ||
         now - this->started_at >= kQuarantineWait;
}

// All servers of each service that has expert maps. Draining servers are
// included because they remain ranks until they have left.
std::vector<ExpertParallelService> RelayHost::ListExpertParallelServices()
    const {
  const PlatformView& view = this->view_task->view();
  std::map<ServiceName, ExpertParallelService> ranked;
  if (view.traffic == nullptr) {
    return {};
  }
  for (const auto& [id, server] : view.servers) {
    const auto service = view.traffic->services.find(server.listed.service);
    if (server.missing_since || server.replaced ||
        service == view.traffic->services.end() ||
        !HasExpertMaps(service->second)) {
      continue;
    }
    ExpertParallelService& entry = ranked[service->first];
    entry.service = service->first;
    const EngineParameters& engine = *service->second.engine;
    entry.parameters = {
        {engine.expert_slots_per_rank, engine.max_added_experts_per_rank},
        engine.expert_sets,
        engine.expert_load_time};
    entry.ranks.push_back({id, AgentAddress(server.listed, this->settings),
                           server.listed.address});
  }
  std::vector<ExpertParallelService> services;
  services.reserve(ranked.size());
  for (auto& [name, entry] : ranked) {
    services.push_back(std::move(entry));
  }
  return services;
}

void RelayHost::AskAgent(
    const ListedServer& server,
    bool fall_back_to_engine,
    std::function<void(const std::optional<RankAnswer>&)> done) {
  const PlatformView& view = this->view_task->view();
  const auto listed = view.servers.find(server.id);
  const auto service = view.traffic->services.find(server.service);
  // A server that leaves ends as planned, and only engines have agents.
  const bool leaves = listed == view.servers.end() ||
                      listed->second.listed.draining ||
                      listed->second.missing_since.has_value();
  if (leaves || service == view.traffic->services.end() ||
      !service->second.engine) {
    Post(this->loop, [done = std::move(done)] { done(std::nullopt); });
    return;
  }
  const RankAddress rank{server.id, AgentAddress(server, this->settings),
                         server.address};
  this->maps->AskReport(rank, fall_back_to_engine, std::move(done));
}

Result<bool> RelayHost::ListenReadiness() {
  HttpServerOptions options;
  options.address = this->settings.readiness.ip;
  options.port = this->settings.readiness.port;
  options.max_connections = 32;
  options.max_body_bytes = 0;
  options.receive_bytes = kSmallReceiveBytes;
  options.closes_idle_when_full = true;
  auto opened = HttpServer::Listen(
      this->loop, std::move(options),
      [this](const HttpRequest&,
             const std::shared_ptr<HttpResponseWriter>& writer) {
        writer->Respond(this->IsReady() ? 200 : 503, {}, "");
      });
  BOOST_OUTCOME_TRY(server, std::move(opened));
  this->readiness_server = std::move(server);
  return true;
}

std::string RelayHost::FormatMetrics() {
  this->metrics.SetGauge("sessions",
                         static_cast<double>(this->sessions.size()));
  this->metrics.SetGauge(
      "waiting_requests",
      static_cast<double>(this->dispatcher.waiting_requests()));
  this->metrics.SetGauge(
      "limited_servers",
      static_cast<double>(this->dispatcher.CountLimitedServers()));
  this->metrics.SetGauge(
      "permits_denied_by_limit",
      static_cast<double>(this->peers->permits_denied_by_limit()));
  this->UpdateMemoryGauges();
  this->UpdateStoreGauges(EventLoop::Now());
  return this->metrics.FormatText();
}

void RelayHost::UpdateStoreGauges(TimePoint now) {
  if (this->view_task == nullptr) {
    return;
  }
  const auto set = [this](KeyedTopic topic, const std::string& label) {
    const KeyedMirror& mirror = this->view_task->mirror(topic);
    this->metrics.SetGauge("store_era",
                           static_cast<double>(mirror.end.era.value), label);
    this->metrics.SetGauge("store_offset",
                           static_cast<double>(mirror.end.number), label);
    this->metrics.SetGauge("store_held_records",
                           static_cast<double>(CountHeld(mirror)), label);
  };
  set(KeyedTopic::kOperator, "topic=\"operator\"");
  set(KeyedTopic::kServers, "topic=\"servers\"");
  if (const auto& confirmed = this->view_task->view().traffic_confirmed_at) {
    this->metrics.SetGauge("configuration_age_seconds",
                           ToMilliseconds(now - *confirmed) / 1000.0);
  }
}

void RelayHost::UpdateMemoryGauges() {
  this->memory.UpdateMetrics();
  const ProcessMemory process = ReadProcessMemory();
  const auto set = [this](std::string_view name, std::size_t bytes,
                          std::string_view labels = "") {
    this->metrics.SetGauge(name, static_cast<double>(bytes), labels);
  };
  set("memory_resident_bytes", process.resident);
  set("memory_peak_resident_bytes", process.peak_resident);
  set("memory_allocated_bytes", process.allocated);
  set("memory_kept_free_bytes", process.kept_free);
  HeldMemory held;
  for (const auto& [number, session] : this->sessions) {
    held = held + session->held_memory();
  }
  set("held_bytes", held.input, "kind=\"input\"");
  set("held_bytes", held.bodies, "kind=\"bodies\"");
  set("held_bytes", held.to_servers, "kind=\"to_servers\"");
  set("held_bytes", held.answers, "kind=\"answers\"");
  set("held_bytes", held.to_callers, "kind=\"to_callers\"");
  set("held_bytes", held.unread, "kind=\"unread\"");
}

void RelayHost::MakeMapTask() {
  // The start time makes a restarted process a new member, so that two
  // coordinators never share a name within one generation.
  const std::string member =
      this->settings.process.value + "." +
      std::to_string(EventLoop::WallNow().time_since_epoch().count());
  this->maps = std::make_unique<GroupMapTask>(
      this->loop, this->client, this->engine_codec,
      CoordinatorElectionSettings{this->settings.store,
                                  this->settings.store_partitions, member},
      GroupMapCallbacks{[this] { return this->ListExpertParallelServices(); },
                        [this](const GroupRegistry& groups) {
                          this->dispatcher.UpdateGroups(groups);
                        },
                        [this](const std::set<std::string>& servers) {
                          this->dispatcher.SetSlowServers(servers);
                        },
                        [this](const JoinAnswer& answer) {
                          this->peers->OnJoined(answer);
                          this->quarantine_store->OnEra(answer.generation.era);
                        }});
}

Result<bool> RelayHost::Start() {
  this->started_at = EventLoop::Now();
  // While an earlier process holds the ports, this fails before anything is
  // read from the store.
  BOOST_OUTCOME_TRYV(this->permits.Open(
      {this->settings.control.ip, this->settings.permit_port}));
  this->max_sessions =
      MaxSessions(std::min(this->settings.max_descriptors, DescriptorLimit()));
  this->view_task = std::make_unique<PlatformViewTask>(
      this->loop, this->codec, this->settings,
      [this] { this->OnViewChange(); });
  this->peers = std::make_unique<PeerTask>(this->loop, this->client,
                                           this->settings, *this->view_task,
                                           this->dispatcher, this->quarantine);
  this->quarantine.SetCallbacks(
      {[this](const std::string& bytes) { this->peers->Broadcast(bytes); },
       [this](const std::string& host, const std::string& bytes) {
         this->peers->Send(host, bytes);
       },
       [this](const ListedServer& server,
              std::function<void(EngineState state)> done) {
         this->AskAgent(server, false,
                        [server, done = std::move(done)](
                            const std::optional<RankAnswer>& answer) {
                          done(answer ? ClassifyEngine(answer->reply, server)
                                      : EngineState::kUnknown);
                        });
       },
       [this] { this->dispatcher.OnVerdictsChanged(); },
       [this](const QuarantineRecord& record) {
         this->quarantine_store->Write(record);
       }});
  this->quarantine_store = std::make_unique<QuarantineStoreTask>(
      this->loop, this->client, this->codec, this->settings.store,
      this->settings.process.value,
      QuarantineStoreCallbacks{
          [this](const QuarantineRecord& record) {
            this->quarantine.Restore(record);
          },
          [this] { this->quarantine.MarkKnown(); },
          [this] { return this->quarantine.ListInForce(EventLoop::Now()); }});
  BOOST_OUTCOME_TRYV(this->peers->Start());
  this->MakeMapTask();
  BOOST_OUTCOME_TRYV(this->maps->Start(
      {this->settings.control.ip, this->settings.rank_call_port}));
  BOOST_OUTCOME_TRYV(this->ListenReadiness());
  // Connections are taken from here on, so that nothing may fail afterwards.
  auto listening = TcpListener::Listen(
      this->loop, this->settings.callers,
      [this](int socket) { this->OnAccept(socket); }, kReceiveBufferBytes);
  BOOST_OUTCOME_TRY(opened_listener, std::move(listening));
  this->listener = std::move(opened_listener);
  this->metrics_server = std::make_unique<MetricsServer>(
      this->loop,
      Address{this->settings.control.ip, this->settings.metrics_port},
      [this] { return this->FormatMetrics(); });
  this->swept_at = EventLoop::Now();
  this->sweep_timer = std::make_unique<Timer>(
      this->loop, kSweepPeriod, kSweepPeriod, [this] { this->Sweep(); });
  LogJsonNow(
      "started",
      {{"data_centre", std::string_view(this->settings.data_centre.value)},
       {"max_sessions", static_cast<std::int64_t>(this->max_sessions)}});
  return true;
}

void RelayHost::OnViewChange() {
  // The task can call this from its constructor, before `view_task` is set.
  if (this->view_task != nullptr) {
    this->quarantine.SetRules(this->view_task->view().prompt_rules);
    this->dispatcher.UpdateView(this->view_task->view());
  }
}

void RelayHost::OnAccept(int socket) {
  const std::uint64_t number = this->next_session++;
  const auto closed = [this, number] {
    Post(this->loop, [this, number, token = std::weak_ptr<int>(this->alive)] {
      if (!token.expired()) {
        this->sessions.erase(number);
      }
    });
  };
  auto session = std::make_unique<CallerSession>(
      RelayContext{this->loop, this->codec, this->dispatcher, this->quarantine,
                   this->memory, this->silence, this->metrics,
                   this->view_task->view(), this->observed_timeouts, this->stop,
                   this->awake_since},
      socket, number, closed);
  if (this->sessions.size() >= this->max_sessions) {
    session->RefuseRequests();
  }
  if (session->IsRefusing()) {
    this->metrics.Count("sessions_refused_total");
    const auto refusing = std::ranges::count_if(
        this->sessions,
        [](const auto& entry) { return entry.second->IsRefusing(); });
    if (static_cast<std::size_t>(refusing) >= kMaxRefusedSessions) {
      return;
    }
  }
  if (this->stop) {
    session->StartDraining(EventLoop::Now());
  }
  this->sessions.emplace(number, std::move(session));
}

void RelayHost::Sweep() {
  const TimePoint now = EventLoop::Now();
  const Duration since_last_sweep = now - this->swept_at;
  if (since_last_sweep >= kMinPause) {
    LogJsonNow("process_paused", {{"ms", ToMilliseconds(since_last_sweep)}});
    this->metrics.Count("pauses_total");
    this->awake_since = now;
  }
  this->swept_at = now;
  this->view_task->SetCoordinating(this->maps->IsCoordinator());
  this->quarantine.Sweep(now);
  this->memory.Sweep(now);
  this->silence.Sweep(now);
  for (const auto& [number, session] : this->sessions) {
    // An exception of one session must not keep the others from being swept.
    RunGuarded(this->loop.raw(),
               [swept = session.get(), now] { swept->Sweep(now); });
  }
  if (this->stop) {
    this->AdvanceShutdown(now);
  }
}

void RelayHost::Shutdown(std::function<void()> done) {
  if (this->stop) {
    return;
  }
  const TimePoint now = EventLoop::Now();
  this->stop = PlanStop(now, this->settings.grace);
  // The sweeps are further apart than the time that is kept for the end of the
  // process if the grace time is short.
  this->close_timer = std::make_unique<Timer>(
      this->loop, this->stop->close_by - now + kTimerMargin, Duration(0),
      [this] { this->AdvanceShutdown(EventLoop::Now()); });
  this->maps->Leave();
  this->on_drained = std::move(done);
  for (const auto& [number, session] : this->sessions) {
    session->StartDraining(now);
  }
  LogJsonNow("stopping",
             {{"sessions", static_cast<std::int64_t>(this->sessions.size())}});
}

void RelayHost::AdvanceListener(TimePoint now) {
  if (this->listener == nullptr || now < this->stop->listen_until) {
    return;
  }
  if (!std::exchange(this->refuses_connections, true)) {
    this->listener->RefuseNewConnections();
  }
  if (now >= this->stop->accept_until) {
    // Closing the listener resets connections that are not yet accepted.
    this->listener->AcceptAllPending();
    this->listener.reset();
  }
}

void RelayHost::AdvanceShutdown(TimePoint now) {
  this->AdvanceListener(now);
  if (this->listener != nullptr) {
    return;
  }
  std::vector<CallerSession*> open;
  for (const auto& [number, session] : this->sessions) {
    open.push_back(session.get());
  }
  // While other requests keep the process up anyway, closing an idle connection
  // only costs its caller the next request.
  const bool has_work = std::ranges::any_of(
      open,
      [now](const CallerSession* session) { return session->HasWork(now); });
  std::int64_t cut = 0;
  const bool closes = now >= this->stop->close_by && this->gave_last_answers;
  for (CallerSession* session : open) {
    if (closes && !session->IsClosed()) {
      ++cut;
      session->Abort("the process is shutting down");
    } else if (now >= this->stop->answer_by) {
      session->GiveLastAnswer(now);
    } else if (!has_work) {
      session->CloseIfIdle();
    }
  }
  if (now >= this->stop->answer_by &&
      !std::exchange(this->gave_last_answers, true) &&
      now >= this->stop->close_by) {
    // The process stood still. Callers get what was written just now.
    this->close_timer = std::make_unique<Timer>(
        this->loop, kLateCloseTime, Duration(0),
        [this] { this->AdvanceShutdown(EventLoop::Now()); });
  }
  const bool done = std::ranges::all_of(
      open, [](const CallerSession* session) { return session->IsClosed(); });
  if (done && this->on_drained) {
    LogJsonNow("stopped", {{"cut", cut}});
    std::exchange(this->on_drained, nullptr)();
  }
}

}  // namespace toucanhollow
