// PromptSite: model servers with their agents, and callers that send prompts to
// them. From some moment on, a part of some prompts crashes each server that
// begins to write an answer on it.
#ifndef SOAK_PROMPT_SITE_H_
#define SOAK_PROMPT_SITE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/address.h"
#include "event_loop/event_loop.h"
#include "soak/caller_load.h"
#include "soak/check_promises.h"
#include "standins/platform/crashing_engine_stand_in.h"
#include "standins/platform/platform_store_stand_in.h"
#include "standins/process/child_process.h"

namespace toucanhollow {

// The service of the model servers and its route, as entries of the
// configuration.
std::string PromptServiceText();
std::string PromptRouteText();

struct PromptOptions {
  std::string program;
  // Settings and logs go here.
  std::string directory;
  // The address of a model server.
  std::function<std::string(int number)> server_ip;
  std::uint16_t agent_port = 0;
  unsigned int seed = 1;
  Duration faults_for = Seconds(8);
};

class PromptSite {
 public:
  PromptSite(EventLoop& loop,
             PlatformStoreStandIn& store,
             Ledger& ledger,
             std::vector<HostView> hosts,
             PromptOptions options);
  ~PromptSite();

  // Begins to send requests and to break servers and agents.
  void Start();
  // To be called periodically: restarts agents that were killed.
  void Tick();
  // The fraction of the sound requests sent in a span that were answered.
  double ServedFraction(TimePoint from, TimePoint to) const;
  // Adds the promises that were broken to the ledger.
  void Check();

 private:
  struct Sent;

  void SendOne();
  void DrawFault();
  void OnAnswer(Sent& sent);

  EventLoop& loop;
  Ledger& ledger;
  std::vector<HostView> hosts;
  PromptOptions options;
  std::mt19937 random;
  std::vector<std::unique_ptr<CrashingEngineStandIn>> engines;
  std::vector<std::unique_ptr<ChildProcess>> agents;
  std::map<std::string, std::unique_ptr<Sent>> requests;  // by id
  std::uint64_t next_id = 1;
  std::unique_ptr<Timer> send_timer;
  std::unique_ptr<Timer> fault_timer;
  std::unique_ptr<Timer> deadly_timer;
  TimePoint faults_until;
};

}  // namespace toucanhollow

#endif  // SOAK_PROMPT_SITE_H_
