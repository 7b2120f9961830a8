// GroupRegistry: the model groups of the platform's services, as reported by
// their ranks: which server belongs to which group, and whether the group
// executes passes.
//
// The platform forms the groups and may re-form them at any time, so none of
// this is configured.
#ifndef MAP_CHANGE_GROUP_REGISTRY_H_
#define MAP_CHANGE_GROUP_REGISTRY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/name.h"
#include "base/time.h"
#include "map_change/rank_report.h"

namespace toucanhollow {

// Groups of different services may share a name.
struct GroupKey {
  ServiceName service;
  std::string name;

  bool operator==(const GroupKey&) const = default;
  auto operator<=>(const GroupKey&) const = default;
};

struct GroupState {
  std::int64_t epoch = 0;
  int size = 0;       // ranks
  bool open = false;  // executes passes
  // When the last report of this epoch arrived.
  TimePoint last_report_at;
  // The highest pass that was reported in this epoch, and when it was first
  // reported.
  StepNumber step = 0;
  TimePoint step_advanced_at;

  bool operator==(const GroupState&) const = default;
};

// The group of a server and its rank there.
struct GroupRank {
  GroupKey group;
  int rank = 0;

  bool operator==(const GroupRank&) const = default;
};

struct GroupRegistry {
  std::map<std::string, GroupRank> rank_by_server;  // by server id
  std::map<GroupKey, GroupState> groups;

  bool operator==(const GroupRegistry&) const = default;
};

enum class RankReportStatus {
  kAccepted,
  kGroupUnnamed,    // the group has no name
  kRankOutOfRange,  // the rank is not below the group's size
  kStaleEpoch,      // the group has since been re-formed
};

std::string_view DescribeRankReportStatus(RankReportStatus status);

// A report with an epoch below the current one is accepted only after the group
// has sent no report for this long. A delayed report arrives much sooner than
// that.
inline constexpr Duration kEpochRetention = Seconds(5);

// Applies the report of a rank. The registry changes only if the result is
// kAccepted.
RankReportStatus ApplyRankReport(GroupRegistry& registry,
                                 const ServiceName& service,
                                 const RankReport& report,
                                 TimePoint now);

// Removes servers that are not in `listed`, and groups without ranks.
void RemoveUnlistedServers(GroupRegistry& registry,
                           const std::set<std::string>& listed);

// Returns the group of the server, or null if it is not known.
const GroupState* FindGroup(const GroupRegistry& registry,
                            const std::string& server);

// True if the server's group reports that it executes no passes.
bool IsGroupHalted(const GroupRegistry& registry, const std::string& server);

// A group that sends reports but has begun no pass for this long is waiting for
// one of its ranks. Longer than the slowest pass and than a change of the map.
inline constexpr Duration kStallTimeout = Milliseconds(1200);

// True if the server's group sends reports but has begun no pass within
// kStallTimeout. This is also true of a group that has no requests.
bool IsGroupStalled(const GroupRegistry& registry,
                    const std::string& server,
                    TimePoint now);

}  // namespace toucanhollow

#endif  // MAP_CHANGE_GROUP_REGISTRY_H_
