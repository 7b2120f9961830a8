// SoakSite: entry hosts as processes, between callers, servers and a store that
// the soak plays, with a fault proxy on each link.
#ifndef SOAK_SOAK_SITE_H_
#define SOAK_SOAK_SITE_H_

#include <cstdint>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "soak/caller_load.h"
#include "soak/check_promises.h"
#include "soak/plan_faults.h"
#include "soak/prompt_site.h"
#include "soak/soak_server.h"
#include "standins/fault_proxy/fault_proxy.h"
#include "standins/platform/platform_store_stand_in.h"
#include "standins/process/child_process.h"

namespace toucanhollow {

struct SoakOptions {
  unsigned int seed = 1;
  // How long faults of all kinds begin, and then those of the contact with the
  // store alone.
  Duration faults_for = Seconds(8);
  Duration contact_faults_for = Seconds(14);
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

 private:
  struct Host;
  struct Server;

  void StartHosts();
  void RunFor(Duration time);
  void Schedule(const std::vector<Fault>& faults);
  void Begin(const Fault& fault);
  void Tick();
  void Heartbeat(Server& server, const std::string& state);
  void DrainServer(Server& server);
  void RestartServer(Server& server);
  void Publish();
  void CheckRecovery();
  // The host is disturbed now and for this time, and has to be in touch again
  // for a while before it is held to the bounds.
  void NoteDisturbance(const Host& host, Duration lasts = Duration(0));
  void NoteStoreDisturbance();
  void DisturbLink(Server& server);
  // Requests that arrive later are checked, if the store and the server's link
  // are stable.
  void NoteLeft(Server& server);
  void RemoveServer(Server& server, unsigned int draw);
  void TerminateHost(Host& host);
  void CutFromStore(Host& host, ProxyMode mode, Duration time);
  void After(Duration delay, std::function<void()> action);

  EventLoop& loop;
  SoakOptions options;
  std::ofstream fault_log;
  Ledger ledger;
  PlatformStoreStandIn store;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Host>> hosts;
  std::unique_ptr<CallerLoad> callers;
  std::unique_ptr<PromptSite> prompts;
  std::vector<std::unique_ptr<Timer>> timers;
  int version = 1;
  int next_server = 1;
  int outages = 0;
  TimePoint store_disturbed_at;
};

}  // namespace toucanhollow

#endif  // SOAK_SOAK_SITE_H_
