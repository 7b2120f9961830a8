// GroupMapTask: discovers which servers form which model groups, and balances
// the load of the ranks of each group while this host is the coordinator.
//
// One host coordinates all groups: each group costs it one exchange of messages
// with its ranks, and the store needs one election instead of one per group.
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
#include "map_change/coordinator_versions.h"
#include "map_change/group_registry.h"
#include "map_task/coordinator_task.h"
#include "map_task/group_coordinator.h"
#include "map_task/rank_calls.h"

namespace toucanhollow {

// The servers of a service that has expert maps, according to this host's
// current information.
struct ExpertParallelService {
  ServiceName service;
  std::vector<RankAddress> ranks;
  ExpertParameters parameters;
};

struct GroupMapCallbacks {
  // Returns the services that have expert maps.
  std::function<std::vector<ExpertParallelService>()> list_services;
  // Called when the ranks or the epoch of a group changed, or whether it is
  // open.
  std::function<void(const GroupRegistry& registry)> on_groups;
  // Called when the servers of slow ranks changed; there are none while this
  // host is not the coordinator.
  std::function<void(const std::set<std::string>& servers)> on_slow_ranks;
  // Called at each answer of the store to this host's join of the group.
  std::function<void(const JoinAnswer& answer)> on_joined = nullptr;
};

class GroupMapTask {
 public:
  GroupMapTask(EventLoop& loop,
               HttpClient& client,
               const EngineMapCodec& codec,
               const CoordinatorElectionSettings& election,
               GroupMapCallbacks callbacks);

  // Opens the UDP socket for calls to agents. Fails with kSettingsInvalid.
  Result<bool> Start(const Address& local);

  // Asks the agent of a rank for the engine's report and, if
  // `fall_back_to_engine` is set, the engine itself if the agent does not
  // answer. `done` is called once, with an empty reply if there is no answer.
  void AskReport(const RankAddress& rank,
                 bool fall_back_to_engine,
                 std::function<void(const RankAnswer& answer)> done);
  // True while this host is the coordinator of all groups.
  bool IsCoordinator() const;
  // Resigns as coordinator. Unfinished rounds are left to the next coordinator.
  void Leave();

 private:
  void Tick();
  void RefreshServices();
  void UpdateTerm();
  // Whether this host has used all map versions of its term.
  bool IsTermUsedUp() const;
  // Requests the report of one rank of a known group.
  void Probe(TimePoint now);
  // Requests the reports of ranks whose group is not known, or that were left
  // behind.
  void Discover(TimePoint now);
  void HandleReport(const ServiceName& service, const RankReport& report);
  void NotifyGroupsChanged();
  // Whether the server's last report is of an epoch before the one in which its
  // group was re-formed.
  bool IsLeftBehind(const std::string& server) const;
  // Passes the known ranks of each group to its coordinator object.
  void AssignRanks();
  // Notifies the host if the slow ranks changed.
  void NotifySlowRanks();

  EventLoop& loop;
  GroupMapCallbacks callbacks;
  std::int64_t versions_in_term;
  CoordinatorTask coordinator;
  RankCalls calls;
  CoordinatorVersions versions;
  std::vector<ExpertParallelService> services;
  GroupRegistry registry;
  std::map<GroupKey, std::unique_ptr<GroupCoordinator>> group_coordinators;
  std::set<std::string> slow_ranks;
  // Servers whose reports were rejected, with the last reason; each reason is
  // logged once.
  std::map<std::string, RankReportStatus> rejected_reports;
  bool probe_pending = false;
  bool discovery_pending = false;
  TimePoint probed_at;
  TimePoint discovered_at;
  std::size_t next_probe;
  // Modulo the number of services, the one at which the next discovery begins.
  std::size_t next_discovery = 0;
  std::unique_ptr<Timer> timer;
};

}  // namespace toucanhollow

#endif  // MAP_TASK_GROUP_MAP_TASK_H_
