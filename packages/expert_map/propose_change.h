// Who begins a map change and when, and who refreshes the current map.
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

// The least time from the proposal to the activation step.
constexpr Duration kMinMapLead = Seconds(10);
// Staging must end by half of the lead, or the agents abort; the other half of
// that half is for confirms.
constexpr int kLeadPerStagingTime = 4;
// No change is begun if the last append took longer.
constexpr Duration kSlowAppend = Seconds(1);
// The current map is appended again after this part of the retention; each rank
// waits a further part, so that usually one agent does it.
constexpr int kMapRefreshPartOfRetention = 4;
constexpr int kMapRefreshRankPartOfRetention = 1024;

struct MapLogStatus {
  bool reachable = false;
  Duration last_append{};
  // The offset of the last entry.
  LogOffset end = 0;
  Duration retention{};

  bool operator==(const MapLogStatus&) const = default;
};

struct GroupStatus {
  ServiceName group;
  int ranks = 0;
  std::set<int> alive_ranks;
  // The step that the group has reached, and its present step time.
  StepNumber step = 0;
  Duration step_time = Milliseconds(30);
  // How long the slowest rank is expected to load the weights.
  Duration staging_time{};

  bool operator==(const GroupStatus&) const = default;
};

// The lowest alive rank proposes, and only while all ranks are alive, since a
// commit needs the confirm of each. A second proposer is harmless.
bool IsProposer(const GroupStatus& group, int rank);

// A proposal for the map. Codes: kMapLogTooSlow, kMapChangeOpen,
// kMapBaseVersionStale (this process has not read the whole stream).
Result<ProposeRecord> ProposeChange(const MapFold& fold,
                                    const GroupStatus& group,
                                    const MapLogStatus& log,
                                    ExpertMap map,
                                    std::string change,
                                    ProcessName proposer);

// The refresh that this rank's agent appends now, if it is due.
std::optional<MapRefreshRecord> PlanMapRefresh(const MapFold& fold,
                                               const GroupStatus& group,
                                               const MapLogStatus& log,
                                               int rank,
                                               WallTime now);

}  // namespace toucanhollow

#endif  // EXPERT_MAP_PROPOSE_CHANGE_H_
