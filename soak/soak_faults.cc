// The faults and signals that a SoakSite plays.
#include <algorithm>
#include <csignal>
#include <iterator>
#include <utility>

#include "soak/site_text.h"
#include "soak/soak_site.h"

namespace toucanhollow {
namespace {

constexpr Duration kHeartbeat = Seconds(1);
// An entry lapses after three heartbeats of silence.
constexpr Duration kLapse = Seconds(3);
constexpr Duration kRestartPause = Milliseconds(300);
// A server that leaves without notice serves on for so long.
constexpr Duration kServesOn = Milliseconds(3000);
constexpr int kServesOnSpreadMs = 2500;
// From the begin of a cut to the restart of another host.
constexpr Duration kRestartAfter = Milliseconds(300);
// One series of signals in so many comes with configurations.
constexpr unsigned int kConfiguredOneIn = 3;
constexpr int kConfigurations = 4;
constexpr Duration kConfigurationPeriod = Milliseconds(35);
// Of the settings of a process that starts with all others.
constexpr int kChangesAtStart = 6;
constexpr Duration kChangePeriod = Milliseconds(17);

}  // namespace

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

void SoakSite::DisturbLink(Server& server, bool lasts) {
  server.link_disturbed_at = EventLoop::Now();
  server.server.SetLeft(std::nullopt);
  server.server.SetLinkDisturbed(lasts);
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
  host.process->Terminate(SIGTERM, kRestartPause);
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
  this->store.Put("keyed.op", "config",
                  ConfigText(this->version++, this->options.largest_body));
}

void SoakSite::PutForeignRecord() {
  constexpr std::size_t kLevels = 120'000;
  const std::string nested =
      std::string(kLevels, '[') + std::string(kLevels, ']');
  const std::string values[] = {nested, R"({"slots":)" + nested + "}",
                                R"({"service":"ledger","address":7})", "\xff"};
  const int number = this->foreign_records++;
  this->store.Put("keyed.servers", "foreign-" + std::to_string(number),
                  values[number % std::size(values)]);
}

void SoakSite::ScheduleSignals(Duration length) {
  SignalOptions signals = this->options.signals;
  signals.length = length;
  for (const SignalSeries& series : PlanSignals(this->options.seed, signals)) {
    this->After(series.at, [this, series] { this->PlaySeries(series); });
  }
}

void SoakSite::ScheduleJointRestarts(Duration length) {
  const Duration period = this->options.joint_restart_period;
  if (period == Duration(0)) {
    return;
  }
  bool kills = false;
  for (Duration at = period; at < length; at += period) {
    this->After(at, [this, kills] { this->RestartAll(kills); });
    kills = !kills;
  }
}

std::vector<SupervisedProcess*> SoakSite::Agents() const {
  std::vector<SupervisedProcess*> agents = this->prompts->Agents();
  std::ranges::copy(this->groups->Agents(), std::back_inserter(agents));
  return agents;
}

void SoakSite::RestartAll(bool kills) {
  std::vector<SupervisedProcess*> all = this->Agents();
  for (const auto& host : this->hosts) {
    this->NoteDisturbance(*host);
    all.push_back(host->process.get());
  }
  SignalSeries changes;
  changes.at_next_start = true;
  for (int i = 0; i < kChangesAtStart; ++i) {
    changes.signals.push_back({i * kChangePeriod, SIGHUP});
  }
  for (SupervisedProcess* process : all) {
    process->Play(changes);
    if (kills) {
      process->Kill(Duration(0));
    }
  }
}

void SoakSite::PlaySeries(const SignalSeries& series) {
  if (series.which % kConfiguredOneIn == 0) {
    for (int i = 0; i < kConfigurations; ++i) {
      this->After(i * kConfigurationPeriod, [this] { this->Publish(); });
    }
  }
  if (series.to_agent) {
    const std::vector<SupervisedProcess*> agents = this->Agents();
    agents[series.which % agents.size()]->Play(series);
    return;
  }
  Host& host = *this->hosts[series.which % this->hosts.size()];
  this->NoteDisturbance(host, series.signals.back().after);
  host.process->Play(series);
}

void SoakSite::Begin(const Fault& fault) {
  Host& host = *this->hosts[fault.which % this->hosts.size()];
  Server& server = *this->servers[fault.which % this->servers.size()];
  this->fault_log.Note({{"fault", FaultName(fault.kind)},
                        {"host", host.process->name()},
                        {"server", server.server.id()},
                        {"for_ms", ToMilliseconds(fault.lasts)},
                        {"mode", static_cast<int>(fault.mode)}});
  switch (fault.kind) {
    case FaultKind::kKillHost:
    case FaultKind::kTerminateHost:
    case FaultKind::kPauseHost:
      this->BeginAtHost(fault, host);
      break;
    case FaultKind::kServerLink:
    case FaultKind::kBreakAnswers:
    case FaultKind::kRestartServer:
    case FaultKind::kDrainServer:
    case FaultKind::kSilenceServer:
    case FaultKind::kRemoveServer:
      this->BeginAtServer(fault, server);
      break;
    case FaultKind::kConfigure:
      this->Publish();
      break;
    default:
      this->BeginAtStore(fault, host);
      break;
  }
}

void SoakSite::BeginAtHost(const Fault& fault, Host& host) {
  switch (fault.kind) {
    case FaultKind::kKillHost:
      this->NoteDisturbance(host);
      host.process->Kill(kRestartPause);
      break;
    case FaultKind::kPauseHost:
      this->NoteDisturbance(host, fault.lasts);
      host.process->Pause();
      this->After(fault.lasts, [this, &host] {
        this->NoteDisturbance(host);
        host.process->Resume();
      });
      break;
    default:
      this->TerminateHost(host);
      break;
  }
}

void SoakSite::BeginAtStore(const Fault& fault, Host& host) {
  switch (fault.kind) {
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
    case FaultKind::kStoreCompact:
      this->store.Compact("keyed.servers");
      this->store.Compact("keyed.op");
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
    case FaultKind::kCutBesideRestart: {
      Host& other = *this->hosts[(fault.which + 1) % this->hosts.size()];
      this->CutFromStore(host, fault.mode, fault.lasts);
      this->After(kRestartAfter,
                  [this, &other] { this->TerminateHost(other); });
      break;
    }
    default:
      break;
  }
}

void SoakSite::BeginAtServer(const Fault& fault, Server& server) {
  const TimePoint now = EventLoop::Now();
  switch (fault.kind) {
    case FaultKind::kServerLink:
      this->DisturbLink(server, true);
      server.link.SetMode(fault.mode);
      server.server.IgnoreRateUntil(now + fault.lasts + Seconds(1));
      this->After(fault.lasts, [this, &server] {
        this->DisturbLink(server, false);
        server.link.SetMode(ProxyMode::kPass);
      });
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
    case FaultKind::kSilenceServer:
      this->DisturbLink(server, false);
      server.server.IgnoreRateUntil(now + Seconds(1));
      server.link.SilenceOpenConnections();
      break;
    case FaultKind::kRemoveServer:
      this->RemoveServer(server, fault.which);
      break;
    default:
      break;
  }
}

}  // namespace toucanhollow
