// Decides which agent proposes a map change and when, and which agent refreshes
// the current map in the log.
#ifndef EXPERT_MAP_PROPOSE_CHANGE_H_
#define EXPERT_MAP_PROPOSE_CHANGE_H_

#include <optional>
#include <set>
#include <string>

#include "base/name.h"
#include "base/result.h"
#include "base/time.h"
#include "expert_map/map_fold.h"

namespace toucanhollow {

// The minimum time from the proposal to the activation step.
constexpr Duration kMinMapLead = Seconds(10);
// The agents abort a change that is not decided after half of its lead time.
// Staging gets one half of that period and the confirms get the other.
constexpr int kLeadPerStagingTime = 4;
// No change is proposed and no map is refreshed if the last append took longer.
constexpr Duration kMaxAppendTime = Seconds(1);
// The current map is appended again once its last copy is as old as the
// retention divided by this.
constexpr int kMapRefreshRetentionDivisor = 4;
// Each alive rank waits longer than the one before it by the retention divided
// by this, so that usually only one agent appends the map.
constexpr int kMapRefreshStaggerDivisor = 1024;

// The state of the log as this process sees it.
struct MapLogStatus {
  bool reachable = false;
  // How long the last append took.
  Duration last_append{};
  // The offset of the last entry.
  LogOffset end = 0;
  // How long the log retains an entry.
  Duration retention{};

  bool operator==(const MapLogStatus&) const = default;
};

struct GroupStatus {
  ServiceName group;
  int ranks = 0;
  std::set<int> alive_ranks;
  // The step that the group has reached, and its current step time.
  StepNumber step = 0;
  Duration step_time = Milliseconds(30);
  // The expected time that the slowest rank needs to load the weights.
  Duration staging_time{};

  bool operator==(const GroupStatus&) const = default;
};

// True for the lowest rank while all ranks are alive, since a commit needs the
// confirm of each rank. A second proposer is harmless.
bool IsProposer(const GroupStatus& group, int rank);

// Returns a proposal to change to `map`. Result codes: kMapLogTooSlow (the log
// is slow or unreachable), kMapChangeOpen, kMapBaseVersionStale (this process
// has not read the stream to its end).
Result<ProposeRecord> ProposeChange(const MapFold& fold,
                                    const GroupStatus& group,
                                    const MapLogStatus& log,
                                    ExpertMap map,
                                    std::string change,
                                    ProcessName proposer);

// The refresh that this rank's agent is to append now; none if it is not due.
std::optional<MapRefreshRecord> PlanMapRefresh(const MapFold& fold,
                                               const GroupStatus& group,
                                               const MapLogStatus& log,
                                               int rank,
                                               WallTime now);

}  // namespace toucanhollow

#endif  // EXPERT_MAP_PROPOSE_CHANGE_H_
