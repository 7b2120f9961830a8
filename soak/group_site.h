// GroupSite: model servers in groups that make passes together, with their
// agents, and callers that send prompts to them. Ranks and agents end and come
// back, and what is chosen changes, so that maps change beside all that.
#ifndef SOAK_GROUP_SITE_H_
#define SOAK_GROUP_SITE_H_

#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "soak/prompt_site.h"
#include "standins/platform/engine_group_stand_in.h"

namespace toucanhollow {

// The service of the groups and its route, as entries of the configuration.
std::string GroupServiceText();
std::string GroupRouteText();

class GroupSite {
 public:
  GroupSite(EventLoop& loop,
            FaultLog& log,
            PlatformStoreStandIn& store,
            Ledger& ledger,
            std::vector<HostView> hosts,
            ModelSiteOptions options);
  ~GroupSite();

  // Begins to send requests and to break ranks and agents.
  void Start();
  std::vector<SupervisedProcess*> Agents() const;
  double ServedFraction(TimePoint from, TimePoint to) const {
    return this->load->ServedFraction(from, to);
  }
  // Adds the promises that were broken to the ledger.
  void Check();
  // Map changes of all groups.
  int switches() const;

 private:
  struct Rank;
  struct Stream;

  void Register(const Rank& rank, const std::string& state);
  void Serve(Rank& rank,
             const HttpRequest& request,
             const std::shared_ptr<HttpResponseWriter>& writer);
  // Each stream goes on by an event in each pass of its group.
  void AdvanceStreams();
  void Stop(Rank& rank);
  void Restart(Rank& rank);
  void DrawFault();
  void After(Duration delay, std::function<void()> action);

  EventLoop& loop;
  FaultLog& log;
  PlatformStoreStandIn& store;
  Ledger& ledger;
  std::vector<HostView> hosts;
  ModelSiteOptions options;
  std::mt19937 random;
  std::vector<std::unique_ptr<EngineGroupStandIn>> groups;
  std::vector<std::unique_ptr<Rank>> ranks;
  std::vector<std::unique_ptr<SupervisedProcess>> agents;
  std::vector<std::unique_ptr<Stream>> streams;
  std::unique_ptr<PromptLoad> load;
  std::unique_ptr<Timer> pass_timer;
  std::unique_ptr<Timer> demand_timer;
  std::unique_ptr<Timer> fault_timer;
  std::vector<std::unique_ptr<Timer>> timers;
  // Ids of requests that a rank broke off.
  std::set<std::string> broken_off;
  // Ids of requests that have arrived at a rank.
  std::set<std::string> arrived;
  TimePoint faults_until;
};

}  // namespace toucanhollow

#endif  // SOAK_GROUP_SITE_H_
