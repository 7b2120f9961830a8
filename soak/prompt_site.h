// PromptSite: model servers with their agents, and callers that send prompts to
// them. From some moment on, a part of some prompts crashes each server that
// begins to write an answer on it.
#ifndef SOAK_PROMPT_SITE_H_
#define SOAK_PROMPT_SITE_H_

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "soak/agent_process.h"
#include "soak/prompt_load.h"
#include "standins/platform/crashing_engine_stand_in.h"
#include "standins/platform/platform_store_stand_in.h"

namespace toucanhollow {

// The service of the model servers and its route, as entries of the
// configuration.
std::string PromptServiceText();
std::string PromptRouteText();

struct ModelSiteOptions {
  std::string program;
  // Settings and logs go here.
  std::string directory;
  // The address of a model server.
  std::function<std::string(int number)> server_ip;
  std::uint16_t agent_port = 0;
  // Of the agents.
  Duration first_signal_after{0};
  bool signals_while_loading = true;
  bool signals_blocked_at_start = false;
  ProcessLimits limits;
  int servers = 4;
  unsigned int seed = 1;
  Duration faults_for = Seconds(8);
  // Ranks of a group.
  int ranks = 4;
  // Of the bodies of prompts; none if 0. Callers keep connections if not.
  std::size_t largest_body = 0;
  // In half of the seeds the deadly part ends servers some time after the first
  // event of the answer.
  bool late_crashes = false;
};

class PromptSite {
 public:
  PromptSite(EventLoop& loop,
             FaultLog& log,
             PlatformStoreStandIn& store,
             Ledger& ledger,
             std::vector<HostView> hosts,
             ModelSiteOptions options);
  ~PromptSite();

  // Begins to send requests and to break servers and agents.
  void Start();
  std::vector<SupervisedProcess*> Agents() const;
  // The fraction of the sound requests sent in a span that were answered.
  double ServedFraction(TimePoint from, TimePoint to) const {
    return this->load->ServedFraction(from, to);
  }
  // Adds the promises that were broken to the ledger.
  void Check();

 private:
  void DrawFault();
  void Crash(CrashingEngineStandIn& engine);

  EventLoop& loop;
  FaultLog& log;
  Ledger& ledger;
  std::vector<HostView> hosts;
  ModelSiteOptions options;
  std::mt19937 random;
  std::vector<std::unique_ptr<CrashingEngineStandIn>> engines;
  std::vector<std::unique_ptr<SupervisedProcess>> agents;
  std::unique_ptr<PromptLoad> load;
  std::unique_ptr<Timer> fault_timer;
  std::unique_ptr<Timer> deadly_timer;
  std::vector<std::unique_ptr<Timer>> leavings;
  TimePoint faults_until;
};

}  // namespace toucanhollow

#endif  // SOAK_PROMPT_SITE_H_
