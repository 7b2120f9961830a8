#include "map_change/group_registry.h"

#include <algorithm>

namespace toucanhollow {

std::string_view DescribeReportUse(ReportUse use) {
  switch (use) {
    case ReportUse::kTaken:
      return "taken";
    case ReportUse::kUnnamed:
      return "the group has no name";
    case ReportUse::kBadRank:
      return "the rank lies outside the group";
    case ReportUse::kOldEpoch:
      return "the group has formed again since";
  }
  return "";
}

ReportUse TakeRankReport(GroupBoard& board,
                         const ServiceName& service,
                         const RankReport& report,
                         TimePoint now) {
  if (report.group.empty()) {
    return ReportUse::kUnnamed;
  }
  if (report.rank < 0 || report.rank >= report.size) {
    return ReportUse::kBadRank;
  }
  const GroupKey key{service, report.group};
  const auto known = board.groups.find(key);
  if (known != board.groups.end() && report.epoch < known->second.epoch &&
      now - known->second.heard_at < kEpochMemory) {
    return ReportUse::kOldEpoch;
  }
  GroupState& group = board.groups[key];
  if (group.epoch != report.epoch || report.step > group.step) {
    group.step = report.step;
    group.step_at = now;
  }
  group.epoch = report.epoch;
  group.size = report.size;
  group.open = report.open;
  group.heard_at = now;
  board.places[report.server] = {key, report.rank};
  return ReportUse::kTaken;
}

void KeepListed(GroupBoard& board, const std::set<std::string>& listed) {
  std::erase_if(board.places, [&listed](const auto& entry) {
    return !listed.contains(entry.first);
  });
  std::set<GroupKey> present;
  for (const auto& [server, place] : board.places) {
    present.insert(place.group);
  }
  std::erase_if(board.groups, [&present](const auto& entry) {
    return !present.contains(entry.first);
  });
}

const GroupState* GroupOf(const GroupBoard& board, const std::string& server) {
  const auto place = board.places.find(server);
  if (place == board.places.end()) {
    return nullptr;
  }
  const auto group = board.groups.find(place->second.group);
  return group == board.groups.end() ? nullptr : &group->second;
}

bool IsStill(const GroupBoard& board,
             const std::string& server,
             TimePoint now) {
  const GroupState* group = GroupOf(board, server);
  return group != nullptr && now - group->heard_at < kStillTime &&
         now - group->step_at >= kStillTime;
}

bool Stands(const GroupBoard& board, const std::string& server) {
  const GroupState* group = GroupOf(board, server);
  return group != nullptr && !group->open;
}

}  // namespace toucanhollow
