// GroupBoard: the model groups of the platform's services as the reports of
// their ranks show them: which server belongs to which group, and which groups
// stand.
//
// The platform forms the groups and may form them anew at any time, so nothing
// here is configured.
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

// Groups of different services may have one name.
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
  // The last report of this epoch.
  TimePoint heard_at;
  // The highest pass that was reported, and when it was reported first.
  StepNumber step = 0;
  TimePoint step_at;

  bool operator==(const GroupState&) const = default;
};

// The place of a server in its group.
struct RankPlace {
  GroupKey group;
  int rank = 0;

  bool operator==(const RankPlace&) const = default;
};

struct GroupBoard {
  std::map<std::string, RankPlace> places;  // by the server's id
  std::map<GroupKey, GroupState> groups;

  bool operator==(const GroupBoard&) const = default;
};

enum class ReportUse {
  kTaken,
  kUnnamed,   // the group has no name
  kBadRank,   // the rank lies outside the group's size
  kOldEpoch,  // the group has formed again since
};

std::string_view DescribeReportUse(ReportUse use);

// An epoch below the last one is not believed until the last one has been
// silent for this long, which exceeds the time of a late report by far.
inline constexpr Duration kEpochMemory = Seconds(5);

// Takes a report of a rank; only kTaken changes the board.
ReportUse TakeRankReport(GroupBoard& board,
                         const ServiceName& service,
                         const RankReport& report,
                         TimePoint now);

// Forgets servers that are not among `listed`, and groups without ranks.
void KeepListed(GroupBoard& board, const std::set<std::string>& listed);

// The group of the server, or null if it is not known.
const GroupState* GroupOf(const GroupBoard& board, const std::string& server);

// True if the server's group says that it executes no passes.
bool Stands(const GroupBoard& board, const std::string& server);

// A group that is heard and has begun no pass for this long waits for one of
// its ranks: longer than the slowest pass and than a change of the map.
inline constexpr Duration kStillTime = Milliseconds(1200);

// True if the server's group has begun no pass of late. A group that has no
// requests begins none either.
bool IsStill(const GroupBoard& board, const std::string& server, TimePoint now);

}  // namespace toucanhollow

#endif  // MAP_CHANGE_GROUP_REGISTRY_H_
