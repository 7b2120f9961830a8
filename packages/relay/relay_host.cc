#include "relay/relay_host.h"

#include <unistd.h>

#include <utility>
#include <vector>

#include "json_log/json_log.h"

namespace toucanhollow {
namespace {

constexpr Duration kSweepPeriod = Milliseconds(100);
// After SIGTERM the balancer needs two failed probes, one a second, before it
// sends no more connections.
constexpr Duration kBalancerLag = Milliseconds(2600);
// Open requests are cut this long before the grace time ends, so that the
// process can still close its connections in order.
constexpr Duration kGraceMargin = Milliseconds(300);
// Descriptors that are not for callers: files, the store, peers.
constexpr std::size_t kReservedDescriptors = 260;
// Each caller's request needs one connection to a server.
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
      dispatcher(loop, this->settings) {}

RelayHost::~RelayHost() = default;

bool RelayHost::IsReady() const {
  return !this->leaving_since && this->beliefs->belief().traffic != nullptr;
}

// All servers of each service that has expert maps, leaving ones included: they
// are ranks until they have left.
std::vector<RankedService> RelayHost::ViewRankedServices() const {
  const Belief& belief = this->beliefs->belief();
  std::map<ServiceName, RankedService> ranked;
  if (belief.traffic == nullptr) {
    return {};
  }
  for (const auto& [id, server] : belief.servers) {
    const auto service = belief.traffic->services.find(server.listed.service);
    if (server.missing_since || server.replaced ||
        service == belief.traffic->services.end() ||
        !HasExpertMaps(service->second)) {
      continue;
    }
    RankedService& entry = ranked[service->first];
    entry.service = service->first;
    const EngineFigures& engine = *service->second.engine;
    entry.figures = {{engine.expert_places, engine.spare_experts},
                     engine.expert_sets,
                     engine.expert_load_time};
    // Every machine of the platform has the same internal ports.
    const Address agent{server.listed.address.ip, this->settings.report_port};
    entry.ranks.push_back({id, agent, server.listed.address});
  }
  std::vector<RankedService> services;
  services.reserve(ranked.size());
  for (auto& [name, entry] : ranked) {
    services.push_back(std::move(entry));
  }
  return services;
}

Result<std::unique_ptr<HttpServer>> RelayHost::Serve(const Address& address,
                                                     HttpHandler handler) {
  HttpServerOptions options;
  options.address = address.ip;
  options.port = address.port;
  options.max_connections = 32;
  return HttpServer::Listen(this->loop, std::move(options), std::move(handler));
}

Result<bool> RelayHost::Start() {
  this->beliefs = std::make_unique<BeliefTask>(
      this->loop, this->client, this->codec, this->settings,
      [this] { this->OnBeliefChange(); });
  this->peers =
      std::make_unique<PeerTask>(this->loop, this->client, this->settings,
                                 *this->beliefs, this->dispatcher);
  BOOST_OUTCOME_TRYV(this->peers->Start());
  auto readiness =
      this->Serve(this->settings.readiness,
                  [this](const HttpRequest&,
                         const std::shared_ptr<HttpResponseWriter>& writer) {
                    writer->Respond(this->IsReady() ? 200 : 503, {}, "");
                  });
  BOOST_OUTCOME_TRY(opened_readiness_server, std::move(readiness));
  this->readiness_server = std::move(opened_readiness_server);
  auto counters = this->Serve(
      {this->settings.control.ip, this->settings.metrics_port},
      [this](const HttpRequest&,
             const std::shared_ptr<HttpResponseWriter>& writer) {
        this->metrics.SetGauge("sessions",
                               static_cast<double>(this->sessions.size()));
        this->metrics.SetGauge(
            "waiting_requests",
            static_cast<double>(this->dispatcher.waiting_requests()));
        writer->Respond(200, {{"Content-Type", "text/plain"}},
                        this->metrics.Print());
      });
  BOOST_OUTCOME_TRY(opened_metrics_server, std::move(counters));
  this->metrics_server = std::move(opened_metrics_server);
  auto listening =
      TcpListener::Listen(this->loop, this->settings.callers,
                          [this](int socket) { this->OnAccept(socket); });
  BOOST_OUTCOME_TRY(opened_listener, std::move(listening));
  this->listener = std::move(opened_listener);
  // A restarted process is another member, so that no two coordinators ever
  // have one name in one generation.
  const std::string member =
      this->settings.process.value + "." +
      std::to_string(EventLoop::WallNow().time_since_epoch().count());
  this->maps = std::make_unique<GroupMapTask>(
      this->loop, this->client, this->engine_codec,
      CoordinatorSeat{this->settings.store, this->settings.store_partitions,
                      member},
      GroupMapCallbacks{[this] { return this->ViewRankedServices(); },
                        [this](const GroupBoard& board) {
                          this->dispatcher.TakeGroups(board);
                        },
                        [this](const std::set<std::string>& servers) {
                          this->dispatcher.SetSlowServers(servers);
                        }});
  BOOST_OUTCOME_TRYV(this->maps->Start(
      {this->settings.control.ip, this->settings.rank_call_port}));
  this->sweep_timer = std::make_unique<Timer>(
      this->loop, kSweepPeriod, kSweepPeriod, [this] { this->Sweep(); });
  LogJsonNow("started", {{"data_centre",
                          std::string_view(this->settings.data_centre.value)}});
  return true;
}

void RelayHost::OnBeliefChange() {
  // Called while the task is made, before it is known here.
  if (this->beliefs != nullptr) {
    this->dispatcher.TakeBelief(this->beliefs->belief());
  }
}

void RelayHost::OnAccept(int socket) {
  const std::size_t most =
      (this->settings.max_descriptors - kReservedDescriptors) /
      kDescriptorsPerCaller;
  if (this->settings.max_descriptors <= kReservedDescriptors ||
      this->sessions.size() >= most) {
    this->metrics.Count("sessions_refused_total");
    close(socket);
    return;
  }
  const std::uint64_t number = this->next_session++;
  const auto closed = [this, number] {
    Post(this->loop, [this, number] { this->sessions.erase(number); });
  };
  auto session = std::make_unique<CallerSession>(
      RelayContext{this->loop, this->codec, this->dispatcher, this->metrics,
                   this->beliefs->belief(), this->patience},
      socket, number, closed);
  if (this->leaving_since) {
    session->Leave();
  }
  this->sessions.emplace(number, std::move(session));
}

void RelayHost::Sweep() {
  const TimePoint now = EventLoop::Now();
  this->beliefs->SetCoordinating(this->maps->coordinates());
  for (const auto& [number, session] : this->sessions) {
    session->Sweep(now);
  }
  if (this->leaving_since) {
    this->EndShutdownIfDue(now);
  }
}

void RelayHost::Shutdown(std::function<void()> done) {
  if (this->leaving_since) {
    return;
  }
  this->leaving_since = EventLoop::Now();
  this->maps->Leave();
  this->on_drained = std::move(done);
  for (const auto& [number, session] : this->sessions) {
    session->Leave();
  }
  LogJsonNow("stopping",
             {{"sessions", static_cast<std::int64_t>(this->sessions.size())}});
}

void RelayHost::EndShutdownIfDue(TimePoint now) {
  const Duration left_for = now - *this->leaving_since;
  if (left_for < kBalancerLag) {
    return;
  }
  if (this->listener != nullptr) {
    // Connections that have been made and not taken would be reset.
    this->listener->AcceptAllPending();
    this->listener.reset();
  }
  std::vector<CallerSession*> open;
  for (const auto& [number, session] : this->sessions) {
    open.push_back(session.get());
  }
  bool busy = false;
  const bool last_moment = left_for >= this->settings.grace - kGraceMargin;
  for (CallerSession* session : open) {
    if (session->IsSettled(now) || last_moment) {
      session->Cut("the process stops");
    } else {
      busy = true;
    }
  }
  if (!busy && this->on_drained) {
    LogJsonNow("stopped", {{"cut", last_moment}});
    const auto done = std::exchange(this->on_drained, nullptr);
    done();
  }
}

}  // namespace toucanhollow
