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
#include "soak/child_process.h"
#include "soak/plan_faults.h"
#include "soak/prompt_site.h"
#include "soak/soak_server.h"
#include "standins/fault_proxy/fault_proxy.h"
#include "standins/platform/platform_store_stand_in.h"

namespace toucanhollow {

struct SoakOptions {
  unsigned int seed = 1;
  Duration faults_for = Seconds(8);
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
  void Begin(const Fault& fault);
  void Tick();
  void Heartbeat(Server& server, const std::string& state);
  void DrainServer(Server& server);
  void RestartServer(Server& server);
  void Publish();
  void CheckRecovery();
  // Ends the check of a drain that this fault may excuse.
  void NoteDisturbance();
  void After(Duration delay, std::function<void()> action);

  EventLoop& loop;
  SoakOptions options;
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
  TimePoint disturbed_at;
};

}  // namespace toucanhollow

#endif  // SOAK_SOAK_SITE_H_
