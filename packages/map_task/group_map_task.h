// GroupMapTask: learns which servers form which model groups, and keeps the
// ranks of each group evenly loaded while this host is the coordinator.
//
// One host coordinates all groups: each of them costs it one exchange with its
// own ranks, and the store names one place instead of one a group.
#ifndef MAP_TASK_GROUP_MAP_TASK_H_
#define MAP_TASK_GROUP_MAP_TASK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "event_loop/event_loop.h"
#include "http_client/http_client.h"
#include "map_change/group_registry.h"
#include "map_task/coordinator_task.h"
#include "map_task/coordinator_versions.h"
#include "map_task/group_coordinator.h"
#include "map_task/rank_calls.h"

namespace toucanhollow {

// The servers of a service with expert maps, as the host believes them now.
struct ExpertParallelService {
  ServiceName service;
  std::vector<RankAddress> ranks;
  ExpertParameters parameters;
};

struct GroupMapCallbacks {
  std::function<std::vector<ExpertParallelService>()> list_services;
  // The groups changed: their ranks, epochs, or whether they are open.
  std::function<void(const GroupRegistry& registry)> on_groups;
  // The servers of slow ranks; none while this host does not coordinate.
  std::function<void(const std::set<std::string>& servers)> on_slow_ranks;
};

class GroupMapTask {
 public:
  GroupMapTask(EventLoop& loop,
               HttpClient& client,
               const EngineMapCodec& codec,
               const CoordinatorElectionSettings& election,
               GroupMapCallbacks callbacks);

  // Opens the socket for calls to agents. Fails with kSettingsInvalid.
  Result<bool> Start(const Address& local);

  // True while this host coordinates the groups' maps.
  bool IsCoordinator() const;
  // Gives coordination up; rounds under way are left to the successor.
  void Leave();

 private:
  void Tick();
  void RefreshServices();
  void UpdateTerm();
  // Asks one rank what it says of its group.
  void Probe(TimePoint now);
  // Asks all ranks whose group is not known.
  void Discover(TimePoint now);
  void HandleReport(const ServiceName& service, const RankReport& report);
  void NotifyGroupsChanged();
  // Gives each group's rounds the ranks that the board knows.
  void AssignRanks();
  // Tells the host of slow ranks if they changed.
  void NotifySlowRanks();

  EventLoop& loop;
  GroupMapCallbacks callbacks;
  CoordinatorTask coordinator;
  RankCalls calls;
  CoordinatorVersions versions;
  std::vector<ExpertParallelService> services;
  GroupRegistry registry;
  std::map<GroupKey, std::unique_ptr<GroupCoordinator>> group_coordinators;
  std::set<std::string> slow_ranks;
  // Servers whose reports are not used, each logged once.
  std::map<std::string, RankReportStatus> rejected_reports;
  bool probe_pending = false;
  bool discovery_pending = false;
  TimePoint probed_at;
  TimePoint discovered_at;
  std::size_t next_probe;
  std::unique_ptr<Timer> timer;
};

}  // namespace toucanhollow

#endif  // MAP_TASK_GROUP_MAP_TASK_H_
