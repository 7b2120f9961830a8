#include "soak/soak_site.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iomanip>
#include <utility>

namespace toucanhollow {
namespace {

constexpr int kHosts = 3;
constexpr int kServers = 3;
constexpr int kCallers = 24;
constexpr Duration kTick = Milliseconds(50);
constexpr Duration kHeartbeat = Seconds(1);
// An entry lapses after three heartbeats of silence.
constexpr Duration kLapse = Seconds(3);
constexpr Duration kRestartPause = Milliseconds(300);
constexpr Duration kGrace = Seconds(4);
// A server that leaves without notice serves on for so long.
constexpr Duration kServesOn = Milliseconds(3000);
constexpr int kServesOnSpreadMs = 2500;
// From the begin of a cut to the restart of another host.
constexpr Duration kRestartAfter = Milliseconds(300);
// Between the two parts of a run.
constexpr Duration kPause = Seconds(4);
// Time from the begin of the last fault to the end. The longest fault lasts
// 5.5 s, and the second after this time must be served.
constexpr Duration kCalm = Seconds(9);
constexpr double kServedWhenCalm = 0.9;
// UDP, of entry hosts and of agents.
constexpr std::uint16_t kReportPort = 18083;

// A loopback address of this run alone, so that runs go side by side.
std::string OwnIp(int number) {
  constexpr int kOctet = 200;
  const int pid = getpid();
  return "127." + std::to_string(1 + pid / kOctet % kOctet) + "." +
         std::to_string(1 + pid % kOctet) + "." + std::to_string(number);
}

double ToSeconds(WallTime time) {
  return std::chrono::duration<double>(time.time_since_epoch()).count();
}

std::string HostIp(int host) {
  return OwnIp(10 + host);
}

std::string PromptServerIp(int server) {
  return OwnIp(50 + server);
}

std::string ConfigText(int version) {
  const std::string shared =
      R"("target_latency_ms":300,"priority":1,"service":"ledger")";
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"unsafe","host":"h","path_prefix":"/u/",)"
         R"("kind":"unsafe","timeout_ms":2000,"attempts":1,)" +
         shared +
         R"(},{"name":"safe","host":"h","path_prefix":"/s/","kind":"safe",)"
         R"("timeout_ms":2000,"attempts":2,)" +
         shared +
         R"(},{"name":"stream","host":"h","path_prefix":"/m/",)"
         R"("kind":"streaming","timeout_ms":3000,"attempts":2,)"
         R"("resumable":true,)" +
         shared + "}," + PromptRouteText() +
         R"(],"services":[{"name":"ledger","max_conns":96,"cold_s":3,)"
         R"("cold_per_s":)" +
         std::to_string(kColdRequestsPerSecond) + "}," + PromptServiceText() +
         R"(],)"
         R"("limits":{"max_header_bytes":4096,"max_body_bytes":1000,)"
         R"("header_timeout_ms":1000,"idle_timeout_ms":15000},)"
         R"("tenants":[{"name":"acc","api_keys":["k1"]}]})";
}

}  // namespace

struct SoakSite::Server {
  SoakServer server;
  FaultProxy link;
  TimePoint next_heartbeat;
  // It has told the store that it leaves, or has been removed.
  bool draining = false;
  bool removed = false;
  // When its link was last disturbed, which may have held requests up.
  TimePoint link_disturbed_at;

  Server(EventLoop& loop, Ledger& ledger, const std::string& id)
      : server(loop, ledger, id), link(loop, {"127.0.0.1", server.Port()}) {}
};

struct SoakSite::Host {
  std::size_t number;
  std::string ip;
  FaultProxy store_link;
  std::unique_ptr<ChildProcess> process;
  TimePoint disturbed_at;
  std::optional<TimePoint> start_at;
  std::optional<TimePoint> kill_at;
  bool paused = false;
  bool expected_to_end = false;

  Host(EventLoop& loop,
       std::size_t number,
       std::uint16_t store_port,
       std::string ip)
      : number(number),
        ip(std::move(ip)),
        store_link(loop, {"127.0.0.1", store_port}) {}
};

SoakSite::SoakSite(EventLoop& loop, SoakOptions options)
    : loop(loop),
      options(std::move(options)),
      fault_log(this->options.directory + "/faults.log"),
      store(loop) {
  // The members elect the issuer of permits for servers without an agent.
  this->store.knows_members = true;
  for (int i = 0; i < kServers; ++i) {
    this->servers.push_back(std::make_unique<Server>(
        loop, this->ledger, "i-" + std::to_string(this->next_server++)));
  }
  for (int i = 0; i < kHosts; ++i) {
    this->hosts.push_back(std::make_unique<Host>(
        loop, static_cast<std::size_t>(i), this->store.Port(), HostIp(i)));
  }
}

SoakSite::~SoakSite() = default;

void SoakSite::StartHosts() {
  for (const auto& host : this->hosts) {
    const std::string name = "host-" + host->ip;
    const std::string file = this->options.directory + "/" + name + ".ini";
    std::ofstream(file)
        << "[process]\nname = " << name << "\ndata_centre = west\n"
        << "[listen]\ncallers = " << host->ip
        << ":18080\nreadiness = " << host->ip
        << ":18081\ncontrol = " << host->ip
        << ":18082\nreport_port = " << kReportPort << "\nmetrics_port = 18084\n"
        << "rank_call_port = 18085\npermit_port = 18086\n[store]\naddress = "
           "127.0.0.1:"
        << host->store_link.Port()
        << "\n[peers]\nseeds = " << this->hosts.front()->ip << ":18082,"
        << this->hosts.back()->ip
        << ":18082\n[limits]\ndescriptors = 1024\n[shutdown]\ngrace_s = "
        << ToMilliseconds(kGrace) / 1000
        << "\n[retries]\nratio = 0.2\nwindow_s = 10\nslack = 88\n"
        << "[cold]\nburst_factor = " << kColdBurstFactor
        << "\nslack = " << kColdSlack
        << "\n[bounds]\ndrain_ms = " << ToMilliseconds(kDrainBound)
        << "\ncontact_ms = " << ToMilliseconds(kContactBound) << "\n";
    host->process = std::make_unique<ChildProcess>(
        std::vector<std::string>{this->options.program, "--role=relay",
                                 "--settings=" + file},
        this->options.directory + "/" + name + ".log");
    host->process->Start();
  }
}

void SoakSite::RunFor(Duration time) {
  const Timer timer(this->loop, time, Duration(0),
                    [this] { this->loop.Stop(); });
  this->loop.Run();
}

void SoakSite::After(Duration delay, std::function<void()> action) {
  this->timers.push_back(std::make_unique<Timer>(this->loop, delay, Duration(0),
                                                 std::move(action)));
}

void SoakSite::NoteDisturbance(const Host& host, Duration lasts) {
  TimePoint& until = this->ledger.disturbed_until[host.number];
  until = std::max(until, EventLoop::Now() + lasts);
}

void SoakSite::NoteStoreDisturbance() {
  this->store_disturbed_at = EventLoop::Now();
  for (const auto& host : this->hosts) {
    this->NoteDisturbance(*host);
  }
}

void SoakSite::DisturbLink(Server& server) {
  server.link_disturbed_at = EventLoop::Now();
  server.server.SetLeft(std::nullopt);
}

void SoakSite::NoteLeft(Server& server) {
  const TimePoint now = EventLoop::Now();
  const bool store_is_stable =
      this->outages == 0 && now - this->store_disturbed_at > kContactBound;
  if (store_is_stable && now - server.link_disturbed_at > kContactBound) {
    server.server.SetLeft(now);
    ++this->ledger.checked_leavings;
  }
}

// Its entry is removed without notice, and it serves on for a while.
void SoakSite::RemoveServer(Server& server, unsigned int draw) {
  if (server.draining) {
    return;
  }
  server.draining = true;
  server.removed = true;
  this->store.Put("keyed.servers", server.server.id(), std::nullopt);
  this->NoteLeft(server);
  this->After(kServesOn + Milliseconds(draw % kServesOnSpreadMs),
              [this, &server] { this->RestartServer(server); });
}

void SoakSite::TerminateHost(Host& host) {
  this->NoteDisturbance(host);
  host.expected_to_end = true;
  host.process->Signal(SIGTERM);
  host.kill_at = EventLoop::Now() + kGrace;
  host.start_at = EventLoop::Now() + kRestartPause;
}

void SoakSite::CutFromStore(Host& host, ProxyMode mode, Duration time) {
  this->NoteDisturbance(host, time);
  host.store_link.SetMode(mode);
  this->After(time, [this, &host] {
    this->NoteDisturbance(host);
    host.store_link.SetMode(ProxyMode::kPass);
  });
}

void SoakSite::Heartbeat(Server& server, const std::string& state) {
  server.next_heartbeat = EventLoop::Now() + kHeartbeat;
  this->store.Put("keyed.servers", server.server.id(),
                  R"({"service":"ledger","address":"127.0.0.1:)" +
                      std::to_string(server.link.Port()) +
                      R"(","zone":"west","slots":40,"state":")" + state +
                      R"(","born":1700000000000})");
}

void SoakSite::DrainServer(Server& server) {
  if (server.draining) {
    return;
  }
  server.draining = true;
  this->Heartbeat(server, "draining");
  this->NoteLeft(server);
  this->After(2 * kDrainBound, [this, &server] {
    this->store.Put("keyed.servers", server.server.id(), std::nullopt);
    this->RestartServer(server);
  });
}

// The old entry lapses later, as that of a server which crashed.
void SoakSite::RestartServer(Server& server) {
  const std::string old = server.server.id();
  server.draining = false;
  server.removed = false;
  server.server.Restart("i-" + std::to_string(this->next_server++));
  this->Heartbeat(server, "ready");
  this->After(kLapse, [this, old] {
    this->store.Put("keyed.servers", old, std::nullopt);
  });
}

void SoakSite::Schedule(const std::vector<Fault>& faults) {
  for (const Fault& fault : faults) {
    this->After(fault.at, [this, fault] { this->Begin(fault); });
  }
}

void SoakSite::Publish() {
  this->store.Put("keyed.op", "config", ConfigText(this->version++));
}

void SoakSite::Begin(const Fault& fault) {
  Host& host = *this->hosts[fault.which % this->hosts.size()];
  Server& server = *this->servers[fault.which % this->servers.size()];
  const TimePoint now = EventLoop::Now();
  // With the time of the processes' logs.
  this->fault_log << "{\"time\":" << std::fixed << std::setprecision(3)
                  << ToSeconds(EventLoop::WallNow()) << ",\"fault\":\""
                  << FaultName(fault.kind) << "\",\"host\":" << host.number
                  << ",\"server\":\"" << server.server.id()
                  << "\",\"for_ms\":" << ToMilliseconds(fault.lasts)
                  << ",\"mode\":" << static_cast<int>(fault.mode) << "}"
                  << std::endl;
  switch (fault.kind) {
    case FaultKind::kKillHost:
      this->NoteDisturbance(host);
      host.disturbed_at = now;
      host.expected_to_end = true;
      host.process->Signal(SIGKILL);
      host.start_at = now + kRestartPause;
      break;
    case FaultKind::kTerminateHost:
      this->TerminateHost(host);
      break;
    case FaultKind::kPauseHost:
      this->NoteDisturbance(host, fault.lasts);
      host.disturbed_at = now;
      host.paused = true;
      host.process->Signal(SIGSTOP);
      this->After(fault.lasts, [this, &host] {
        this->NoteDisturbance(host);
        host.disturbed_at = EventLoop::Now();
        host.paused = false;
        host.process->Signal(SIGCONT);
      });
      break;
    case FaultKind::kStoreDown:
      this->NoteStoreDisturbance();
      ++this->outages;
      this->store.SetDown(true);
      this->After(fault.lasts, [this] {
        this->NoteStoreDisturbance();
        --this->outages;
        this->store.SetDown(this->outages > 0);
      });
      break;
    case FaultKind::kStoreLink:
      this->CutFromStore(host, fault.mode, fault.lasts);
      break;
    case FaultKind::kServerLink:
      this->DisturbLink(server);
      server.link.SetMode(fault.mode);
      server.server.IgnoreRateUntil(now + fault.lasts + Seconds(1));
      this->After(fault.lasts, [this, &server] {
        this->DisturbLink(server);
        server.link.SetMode(ProxyMode::kPass);
      });
      break;
    case FaultKind::kStoreCompact:
      this->store.Compact("keyed.servers");
      this->store.Compact("keyed.op");
      break;
    case FaultKind::kBreakAnswers:
      server.server.BreakAnswers(static_cast<int>(1 + fault.which % 8));
      break;
    case FaultKind::kRestartServer:
      this->RestartServer(server);
      break;
    case FaultKind::kDrainServer:
      this->DrainServer(server);
      break;
    case FaultKind::kConfigure:
      this->Publish();
      break;
    case FaultKind::kSilenceStore:
      for (const auto& silenced : this->hosts) {
        // One host, or all at once.
        if (fault.which % 2 == 0 || silenced.get() == &host) {
          this->NoteDisturbance(*silenced);
          silenced->store_link.SilenceOpenConnections();
        }
      }
      break;
    case FaultKind::kSilenceServer:
      this->DisturbLink(server);
      server.server.IgnoreRateUntil(now + Seconds(1));
      server.link.SilenceOpenConnections();
      break;
    case FaultKind::kRemoveServer:
      this->RemoveServer(server, fault.which);
      break;
    case FaultKind::kCutBesideRestart: {
      Host& other = *this->hosts[(fault.which + 1) % this->hosts.size()];
      this->CutFromStore(host, fault.mode, fault.lasts);
      this->After(kRestartAfter,
                  [this, &other] { this->TerminateHost(other); });
      break;
    }
  }
}

void SoakSite::Tick() {
  const TimePoint now = EventLoop::Now();
  if (this->prompts != nullptr) {
    this->prompts->Tick();
  }
  for (const auto& server : this->servers) {
    if (now >= server->next_heartbeat && !server->removed) {
      this->Heartbeat(*server, server->draining ? "draining" : "ready");
    }
  }
  for (const auto& host : this->hosts) {
    if (host->process->IsRunning()) {
      if (host->kill_at && now >= *host->kill_at) {
        // The process did not stop in its grace time.
        host->disturbed_at = now;
        host->process->Signal(SIGKILL);
      }
      continue;
    }
    if (!std::exchange(host->expected_to_end, false) && !host->start_at) {
      this->ledger.broken.push_back(
          host->ip + ": the process ended by itself, wait status " +
          std::to_string(host->process->status()));
      host->start_at = now;
    }
    if (host->start_at && now >= *host->start_at) {
      host->start_at.reset();
      host->kill_at.reset();
      this->NoteDisturbance(*host);
      host->process->Start();
      if (host->paused) {
        // The pause was meant for the process before it.
        host->paused = false;
      }
    }
  }
}

void SoakSite::CheckRecovery() {
  const std::int64_t answered = this->ledger.answered;
  const std::int64_t others = this->ledger.refused + this->ledger.failed;
  this->RunFor(Seconds(1));
  const auto served = static_cast<double>(this->ledger.answered - answered);
  const auto all = served + static_cast<double>(this->ledger.refused +
                                                this->ledger.failed - others);
  const TimePoint now = EventLoop::Now();
  const double prompts = this->prompts->ServedFraction(now - Milliseconds(1200),
                                                       now - Milliseconds(200));
  if (prompts < kServedWhenCalm) {
    this->ledger.broken.push_back("after the last fault only a fraction " +
                                  std::to_string(prompts) +
                                  " of the sound prompts was answered");
  }
  // Callers that leave early count as failed; one in 40 does.
  if (all == 0 || served / all < kServedWhenCalm) {
    this->ledger.broken.push_back(
        "after the last fault only " + std::to_string(served) + " of " +
        std::to_string(all) + " requests were answered");
  }
}

const Ledger& SoakSite::Play() {
  this->Publish();
  for (const auto& server : this->servers) {
    this->Heartbeat(*server, "ready");
  }
  this->StartHosts();
  const Timer ticker(this->loop, kTick, kTick, [this] { this->Tick(); });
  std::vector<HostView> views;
  for (const auto& host : this->hosts) {
    views.push_back(
        {{host->ip, 18080}, [raw = host.get()] { return raw->disturbed_at; }});
  }
  this->prompts = std::make_unique<PromptSite>(
      this->loop, this->store, this->ledger, views,
      PromptOptions{this->options.program, this->options.directory,
                    PromptServerIp, kReportPort, this->options.seed,
                    this->options.faults_for});
  this->RunFor(Milliseconds(500));
  this->prompts->Start();
  this->callers = std::make_unique<CallerLoad>(
      this->loop, this->ledger, std::move(views), this->options.seed, kCallers);
  this->Schedule(PlanFaults(this->options.seed, this->options.faults_for));
  this->RunFor(this->options.faults_for + kPause);
  this->Schedule(
      PlanContactFaults(this->options.seed, this->options.contact_faults_for));
  this->RunFor(this->options.contact_faults_for + kCalm);
  this->CheckRecovery();
  this->callers->Finish();
  this->RunFor(Milliseconds(200));
  this->prompts->Check();
  return this->ledger;
}

}  // namespace toucanhollow
