// SoakSite: entry hosts as processes, between callers, servers and a store that
// the soak plays, with a fault proxy on each link.
#ifndef SOAK_SOAK_SITE_H_
#define SOAK_SOAK_SITE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "soak/caller_load.h"
#include "soak/check_promises.h"
#include "soak/fault_log.h"
#include "soak/group_site.h"
#include "soak/plan_faults.h"
#include "soak/prompt_site.h"
#include "soak/soak_server.h"
#include "soak/supervised_process.h"
#include "standins/fault_proxy/fault_proxy.h"
#include "standins/platform/platform_store_stand_in.h"

namespace toucanhollow {

struct SoakOptions {
  unsigned int seed = 1;
  // How long signals come, beside configurations and faults of model servers
  // alone; then faults of all kinds beside signals; and then those of the
  // contact with the store.
  Duration signals_for = Seconds(10);
  Duration faults_for = Seconds(8);
  Duration contact_faults_for = Seconds(14);
  // How the signals are drawn, but for their length.
  SignalOptions signals;
  Duration first_signal_after{0};
  bool signals_while_loading = true;
  bool signals_blocked_at_start = false;
  bool late_crashes = false;  // as in ModelSiteOptions
  int hosts = 3;
  // Model servers; every second one is a rank of a group of `ranks`.
  int engines = 8;
  int ranks = 4;
  int callers = 24;
  ProcessLimits host_limits;
  ProcessLimits agent_limits;
  // Bodies of prompts, and the limit on bodies; prompts have none if 0.
  std::size_t largest_body = 0;
  // How often all processes are told to end, or are killed, while signals come;
  // never if 0.
  Duration joint_restart_period{0};
  std::string program;
  // Settings and logs go here; it must exist.
  std::string directory;
};

class SoakSite {
 public:
  SoakSite(EventLoop& loop, SoakOptions options);
  ~SoakSite();

  // Plays the whole run and returns what was seen.
  const Ledger& Play();
  // Map changes of the model groups.
  int MapChanges() const { return this->groups->switches(); }

 private:
  struct Server {
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

  struct Host {
    std::size_t number;
    FaultProxy store_link;
    std::unique_ptr<SupervisedProcess> process;

    Host(EventLoop& loop, std::size_t number, std::uint16_t store_port)
        : number(number), store_link(loop, {"127.0.0.1", store_port}) {}
  };

  void AddHost(int number);
  void StartModelSites(const std::vector<HostView>& views);
  void RunFor(Duration time);
  void Schedule(const std::vector<Fault>& faults);
  // Signals for this long, beside configurations in quick succession.
  void ScheduleSignals(Duration length);
  // All processes end at about the same moment, and their settings change while
  // they start again.
  void ScheduleJointRestarts(Duration length);
  void RestartAll(bool kills);
  std::vector<SupervisedProcess*> Agents() const;
  void PlaySeries(const SignalSeries& series);
  void Begin(const Fault& fault);
  void BeginAtHost(const Fault& fault, Host& host);
  void BeginAtStore(const Fault& fault, Host& host);
  void BeginAtServer(const Fault& fault, Server& server);
  void Tick();
  void Heartbeat(Server& server, const std::string& state);
  void DrainServer(Server& server);
  void RestartServer(Server& server);
  void Publish();
  // Of another writer, without an entry that names a server to use.
  void PutForeignRecord();
  void CheckRecovery();
  // The host is disturbed now and for this time, and has to be in touch again
  // for a while before it is held to the bounds.
  void NoteDisturbance(const Host& host, Duration lasts = Duration(0));
  void NoteStoreDisturbance();
  void DisturbLink(Server& server, bool lasts);
  // Requests that arrive later are checked, if the store and the server's link
  // are stable.
  void NoteLeft(Server& server);
  void RemoveServer(Server& server, unsigned int draw);
  void TerminateHost(Host& host);
  void CutFromStore(Host& host, ProxyMode mode, Duration time);
  void After(Duration delay, std::function<void()> action);

  EventLoop& loop;
  SoakOptions options;
  FaultLog fault_log;
  Ledger ledger;
  PlatformStoreStandIn store;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Host>> hosts;
  std::unique_ptr<CallerLoad> callers;
  std::unique_ptr<PromptSite> prompts;
  std::unique_ptr<GroupSite> groups;
  std::vector<std::unique_ptr<Timer>> timers;
  int version = 1;
  int foreign_records = 0;
  int next_server = 1;
  int outages = 0;
  TimePoint store_disturbed_at;
};

}  // namespace toucanhollow

#endif  // SOAK_SOAK_SITE_H_
