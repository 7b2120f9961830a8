#include "relay/relay_host.h"

#include <unistd.h>

#include <utility>
#include <vector>

#include "json_log/json_log.h"
#include "relay/agent_address.h"

namespace toucanhollow {
namespace {

constexpr Duration kSweepPeriod = Milliseconds(100);
// A host that has just started is not ready before it knows the quarantines of
// the others, but no longer than this.
constexpr Duration kQuarantineWait = Seconds(1);
// After SIGTERM the external load balancer needs two failed probes, one a
// second, before it stops sending connections.
constexpr Duration kBalancerLag = Milliseconds(2600);
// Open requests are aborted this long before the grace time ends, so that the
// process can still close its connections properly.
constexpr Duration kGraceMargin = Milliseconds(300);
// File descriptors for other uses than callers: files, the store, peers.
constexpr std::size_t kReservedDescriptors = 260;
// One for the caller's connection and one for a connection to a server.
constexpr std::size_t kDescriptorsPerCaller = 2;

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
      permits(loop, this->metrics),
      quarantine(loop, this->metrics),
      dispatcher(loop, this->settings, this->permits, this->quarantine) {}

RelayHost::~RelayHost() = default;

bool RelayHost::IsReady() const {
  return !this->shutdown_started_at &&
         this->view_task->view().traffic != nullptr &&
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

void RelayHost::CheckEngine(const ListedServer& server,
                            std::function<void(EngineState state)> done) {
  const PlatformView& view = this->view_task->view();
  const auto listed = view.servers.find(server.id);
  const auto service = view.traffic->services.find(server.service);
  // A server that leaves ends as planned, and only engines have agents.
  const bool leaves = listed == view.servers.end() ||
                      listed->second.listed.draining ||
                      listed->second.missing_since.has_value();
  if (leaves || service == view.traffic->services.end() ||
      !service->second.engine) {
    Post(this->loop, [done = std::move(done)] { done(EngineState::kUnknown); });
    return;
  }
  const RankAddress rank{server.id, AgentAddress(server, this->settings),
                         server.address};
  this->maps->AskReport(
      rank, [server, done = std::move(done)](const RankReply& reply) {
        done(ClassifyEngine(reply, server));
      });
}

Result<std::unique_ptr<HttpServer>> RelayHost::ListenHttp(
    const Address& address,
    HttpHandler handler) {
  HttpServerOptions options;
  options.address = address.ip;
  options.port = address.port;
  options.max_connections = 32;
  return HttpServer::Listen(this->loop, std::move(options), std::move(handler));
}

Result<bool> RelayHost::Start() {
  this->started_at = EventLoop::Now();
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
         this->CheckEngine(server, std::move(done));
       },
       [this] { this->dispatcher.OnVerdictsChanged(); },
       [this](const QuarantineRecord& record) {
         this->quarantine_store->Write(record);
       }});
  this->quarantine_store = std::make_unique<QuarantineStoreTask>(
      this->loop, this->client, this->codec, this->settings.store,
      QuarantineStoreCallbacks{[this](const QuarantineRecord& record) {
                                 this->quarantine.Restore(record);
                               },
                               [this] { this->quarantine.MarkKnown(); }});
  BOOST_OUTCOME_TRYV(this->peers->Start());
  BOOST_OUTCOME_TRYV(this->permits.Open(
      {this->settings.control.ip, this->settings.permit_port}));
  auto readiness = this->ListenHttp(
      this->settings.readiness,
      [this](const HttpRequest&,
             const std::shared_ptr<HttpResponseWriter>& writer) {
        writer->Respond(this->IsReady() ? 200 : 503, {}, "");
      });
  BOOST_OUTCOME_TRY(opened_readiness_server, std::move(readiness));
  this->readiness_server = std::move(opened_readiness_server);
  auto counters = this->ListenHttp(
      {this->settings.control.ip, this->settings.metrics_port},
      [this](const HttpRequest&,
             const std::shared_ptr<HttpResponseWriter>& writer) {
        this->metrics.SetGauge("sessions",
                               static_cast<double>(this->sessions.size()));
        this->metrics.SetGauge(
            "waiting_requests",
            static_cast<double>(this->dispatcher.waiting_requests()));
        writer->Respond(200, {{"Content-Type", "text/plain"}},
                        this->metrics.FormatText());
      });
  BOOST_OUTCOME_TRY(opened_metrics_server, std::move(counters));
  this->metrics_server = std::move(opened_metrics_server);
  auto listening =
      TcpListener::Listen(this->loop, this->settings.callers,
                          [this](int socket) { this->OnAccept(socket); });
  BOOST_OUTCOME_TRY(opened_listener, std::move(listening));
  this->listener = std::move(opened_listener);
  // The start time makes a restarted process a new member, so that two
  // coordinators never share a name within one generation.
  const std::string member =
      this->settings.process.value + "." +
      std::to_string(EventLoop::WallNow().time_since_epoch().count());
  this->maps = std::make_unique<GroupMapTask>(
      this->loop, this->client, this->engine_codec,
      CoordinatorElectionSettings{this->settings.store,
                                  this->settings.store_partitions, member},
      GroupMapCallbacks{
          [this] { return this->ListExpertParallelServices(); },
          [this](const GroupRegistry& groups) {
            this->dispatcher.UpdateGroups(groups);
          },
          [this](const std::set<std::string>& servers) {
            this->dispatcher.SetSlowServers(servers);
          },
          [this](const JoinAnswer& answer) { this->peers->OnJoined(answer); }});
  BOOST_OUTCOME_TRYV(this->maps->Start(
      {this->settings.control.ip, this->settings.rank_call_port}));
  this->sweep_timer = std::make_unique<Timer>(
      this->loop, kSweepPeriod, kSweepPeriod, [this] { this->Sweep(); });
  LogJsonNow("started", {{"data_centre",
                          std::string_view(this->settings.data_centre.value)}});
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
  const std::size_t max_sessions =
      (this->settings.max_descriptors - kReservedDescriptors) /
      kDescriptorsPerCaller;
  if (this->settings.max_descriptors <= kReservedDescriptors ||
      this->sessions.size() >= max_sessions) {
    this->metrics.Count("sessions_refused_total");
    close(socket);
    return;
  }
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
                   this->metrics, this->view_task->view(),
                   this->observed_timeouts},
      socket, number, closed);
  if (this->shutdown_started_at) {
    session->StartDraining();
  }
  this->sessions.emplace(number, std::move(session));
}

void RelayHost::Sweep() {
  const TimePoint now = EventLoop::Now();
  this->view_task->SetCoordinating(this->maps->IsCoordinator());
  this->quarantine.Sweep(now);
  for (const auto& [number, session] : this->sessions) {
    session->Sweep(now);
  }
  if (this->shutdown_started_at) {
    this->FinishShutdownIfDrained(now);
  }
}

void RelayHost::Shutdown(std::function<void()> done) {
  if (this->shutdown_started_at) {
    return;
  }
  this->shutdown_started_at = EventLoop::Now();
  this->maps->Leave();
  this->on_drained = std::move(done);
  for (const auto& [number, session] : this->sessions) {
    session->StartDraining();
  }
  LogJsonNow("stopping",
             {{"sessions", static_cast<std::int64_t>(this->sessions.size())}});
}

void RelayHost::FinishShutdownIfDrained(TimePoint now) {
  const Duration since_shutdown = now - *this->shutdown_started_at;
  if (since_shutdown < kBalancerLag) {
    return;
  }
  if (this->listener != nullptr) {
    // Closing the listener would reset connections that are established but not
    // yet accepted.
    this->listener->AcceptAllPending();
    this->listener.reset();
  }
  std::vector<CallerSession*> open;
  for (const auto& [number, session] : this->sessions) {
    open.push_back(session.get());
  }
  bool busy = false;
  const bool grace_nearly_over =
      since_shutdown >= this->settings.grace - kGraceMargin;
  for (CallerSession* session : open) {
    if (session->IsDrained(now) || grace_nearly_over) {
      session->Abort("the process is shutting down");
    } else {
      busy = true;
    }
  }
  if (!busy && this->on_drained) {
    LogJsonNow("stopped", {{"cut", grace_nearly_over}});
    const auto done = std::exchange(this->on_drained, nullptr);
    done();
  }
}

}  // namespace toucanhollow
