#include "soak/soak_site.h"

#include <csignal>
#include <fstream>
#include <utility>

#include "soak/site_text.h"

namespace toucanhollow {
namespace {

constexpr int kServers = 3;
constexpr Duration kTick = Milliseconds(50);
constexpr Duration kForeignRecordPeriod = Seconds(3);
// Between the parts of a run.
constexpr Duration kPause = Seconds(4);
// Time from the begin of the last fault to the end. The longest fault lasts
// 5.5 s, and the second after this time must be served.
constexpr Duration kCalm = Seconds(9);
constexpr double kServedWhenCalm = 0.9;
// The first second is judged in which the soak ran, at the latest this one.
constexpr int kMostCalmSeconds = 20;

}  // namespace

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
  for (int i = 0; i < this->options.hosts; ++i) {
    this->AddHost(i);
  }
}

SoakSite::~SoakSite() = default;

void SoakSite::AddHost(int number) {
  this->hosts.push_back(std::make_unique<Host>(
      this->loop, static_cast<std::size_t>(number), this->store.Port()));
  Host& host = *this->hosts.back();
  const std::string ip = HostIp(number);
  const std::string name = "host-" + ip;
  const std::string file = this->options.directory + "/" + name + ".ini";
  ProcessOptions process;
  process.write_settings =
      [file,
       text = HostSettingsText(name, ip, host.store_link.Port(),
                               {HostIp(0), HostIp(this->options.hosts - 1)})] {
        std::ofstream(file) << text;
      };
  process.name = name;
  process.arguments = {this->options.program, "--role=relay",
                       "--settings=" + file};
  process.log_file = this->options.directory + "/" + name + ".log";
  process.grace = kHostGrace;
  process.first_signal_after = this->options.first_signal_after;
  process.signals_while_loading = this->options.signals_while_loading;
  process.signals_blocked_at_start = this->options.signals_blocked_at_start;
  process.limits = this->options.host_limits;
  process.on_restart = [this, &host] { this->NoteDisturbance(host); };
  host.process = std::make_unique<SupervisedProcess>(
      this->loop, this->fault_log, this->ledger, std::move(process));
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

void SoakSite::Tick() {
  const TimePoint now = EventLoop::Now();
  for (const auto& server : this->servers) {
    if (now >= server->next_heartbeat && !server->removed) {
      this->Heartbeat(*server, server->draining ? "draining" : "ready");
    }
  }
}

void SoakSite::CheckRecovery() {
  std::int64_t answered = 0;
  std::int64_t others = 0;
  for (int second = 0; second < kMostCalmSeconds; ++second) {
    const TimePoint begun = EventLoop::Now();
    answered = this->ledger.answered;
    others = this->ledger.refused + this->ledger.failed;
    this->RunFor(Seconds(1));
    // While the soak stands still, so do the store and the servers, and answers
    // are not read.
    NoteTick(this->ledger, EventLoop::Now());
    if (this->ledger.stalled_at + kContactBound < begun) {
      break;
    }
  }
  const auto served = static_cast<double>(this->ledger.answered - answered);
  const auto all = served + static_cast<double>(this->ledger.refused +
                                                this->ledger.failed - others);
  // Callers that leave early count as failed; one in 40 does.
  if (all == 0 || served / all < kServedWhenCalm) {
    NoteBroken(this->ledger,
               "after the last fault only " + std::to_string(served) + " of " +
                   std::to_string(all) + " requests were answered");
  }
  const TimePoint now = EventLoop::Now();
  const TimePoint from = now - Milliseconds(1500);
  const TimePoint to = now - Milliseconds(500);
  const auto check = [this](const char* what, double fraction) {
    if (fraction < kServedWhenCalm) {
      NoteBroken(this->ledger, "after the last fault only a fraction " +
                                   std::to_string(fraction) + " of the " +
                                   what + " was answered");
    }
  };
  check("sound prompts", this->prompts->ServedFraction(from, to));
  check("prompts to groups", this->groups->ServedFraction(from, to));
}

void SoakSite::StartModelSites(const std::vector<HostView>& views) {
  ModelSiteOptions site;
  site.program = this->options.program;
  site.directory = this->options.directory;
  site.agent_port = kReportPort;
  site.first_signal_after = this->options.first_signal_after;
  site.signals_while_loading = this->options.signals_while_loading;
  site.signals_blocked_at_start = this->options.signals_blocked_at_start;
  site.late_crashes = this->options.late_crashes;
  site.limits = this->options.agent_limits;
  site.seed = this->options.seed;
  site.servers = this->options.engines / 2;
  site.ranks = this->options.ranks;
  site.largest_body = this->options.largest_body;
  site.faults_for =
      this->options.signals_for + kPause + this->options.faults_for;
  site.server_ip = PromptServerIp;
  this->prompts = std::make_unique<PromptSite>(
      this->loop, this->fault_log, this->store, this->ledger, views, site);
  site.server_ip = RankIp;
  this->groups = std::make_unique<GroupSite>(
      this->loop, this->fault_log, this->store, this->ledger, views, site);
}

const Ledger& SoakSite::Play() {
  this->Publish();
  for (const auto& server : this->servers) {
    this->Heartbeat(*server, "ready");
  }
  std::vector<HostView> views;
  for (const auto& host : this->hosts) {
    SupervisedProcess& process = *host->process;
    process.Start();
    HostView view;
    view.address = {HostIp(static_cast<int>(host->number)), kCallerPort};
    view.disturbed_at = [&process] { return process.disturbed_at(); };
    view.stopping_since = [&process] { return process.stopping_since(); };
    view.grace = process.grace();
    views.push_back(std::move(view));
  }
  const Timer ticker(this->loop, kTick, kTick, [this] { this->Tick(); });
  const Timer foreign_writer(this->loop, kForeignRecordPeriod,
                             kForeignRecordPeriod,
                             [this] { this->PutForeignRecord(); });
  this->StartModelSites(views);
  this->RunFor(Milliseconds(500));
  this->prompts->Start();
  this->groups->Start();
  this->callers =
      std::make_unique<CallerLoad>(this->loop, this->ledger, std::move(views),
                                   this->options.seed, this->options.callers);
  this->ScheduleSignals(this->options.signals_for);
  this->ScheduleJointRestarts(this->options.signals_for);
  this->RunFor(this->options.signals_for + kPause);
  this->Schedule(PlanFaults(this->options.seed, this->options.faults_for));
  this->ScheduleSignals(this->options.faults_for);
  this->RunFor(this->options.faults_for + kPause);
  this->Schedule(
      PlanContactFaults(this->options.seed, this->options.contact_faults_for));
  this->RunFor(this->options.contact_faults_for + kCalm);
  this->CheckRecovery();
  this->callers->Finish();
  this->RunFor(Milliseconds(200));
  this->prompts->Check();
  this->groups->Check();
  return this->ledger;
}

}  // namespace toucanhollow
