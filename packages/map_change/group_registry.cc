#include "map_change/group_registry.h"

#include <algorithm>

namespace toucanhollow {

std::string_view DescribeRankReportStatus(RankReportStatus status) {
  switch (status) {
    case RankReportStatus::kAccepted:
      return "taken";
    case RankReportStatus::kGroupUnnamed:
      return "the group has no name";
    case RankReportStatus::kRankOutOfRange:
      return "the rank is outside the size of the group";
    case RankReportStatus::kStaleEpoch:
      return "the group has been re-formed with a later epoch";
  }
  return "";
}

RankReportStatus ApplyRankReport(GroupRegistry& registry,
                                 const ServiceName& service,
                                 const RankReport& report,
                                 TimePoint now) {
  if (report.group.empty()) {
    return RankReportStatus::kGroupUnnamed;
  }
  if (report.rank < 0 || report.rank >= report.size) {
    return RankReportStatus::kRankOutOfRange;
  }
  const GroupKey key{service, report.group};
  const auto known = registry.groups.find(key);
  if (known != registry.groups.end() && report.epoch < known->second.epoch &&
      now - known->second.last_report_at < kEpochRetention) {
    return RankReportStatus::kStaleEpoch;
  }
  GroupState& group = registry.groups[key];
  if (group.epoch != report.epoch || report.step > group.step) {
    group.step = report.step;
    group.step_advanced_at = now;
  }
  group.epoch = report.epoch;
  group.size = report.size;
  group.open = report.open;
  group.last_report_at = now;
  registry.rank_by_server[report.server] = {key, report.rank};
  return RankReportStatus::kAccepted;
}

void RemoveUnlistedServers(GroupRegistry& registry,
                           const std::set<std::string>& listed) {
  std::erase_if(registry.rank_by_server, [&listed](const auto& entry) {
    return !listed.contains(entry.first);
  });
  std::set<GroupKey> present;
  for (const auto& [server, group_rank] : registry.rank_by_server) {
    present.insert(group_rank.group);
  }
  std::erase_if(registry.groups, [&present](const auto& entry) {
    return !present.contains(entry.first);
  });
}

const GroupState* FindGroup(const GroupRegistry& registry,
                            const std::string& server) {
  const auto group_rank = registry.rank_by_server.find(server);
  if (group_rank == registry.rank_by_server.end()) {
    return nullptr;
  }
  const auto group = registry.groups.find(group_rank->second.group);
  return group == registry.groups.end() ? nullptr : &group->second;
}

bool IsGroupStalled(const GroupRegistry& registry,
                    const std::string& server,
                    TimePoint now) {
  const GroupState* group = FindGroup(registry, server);
  return group != nullptr && now - group->last_report_at < kStallTimeout &&
         now - group->step_advanced_at >= kStallTimeout;
}

bool IsGroupHalted(const GroupRegistry& registry, const std::string& server) {
  const GroupState* group = FindGroup(registry, server);
  return group != nullptr && !group->open;
}

}  // namespace toucanhollow
