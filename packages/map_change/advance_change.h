// AdvanceChange: changes the expert map of a group so that no pass begins while
// two ranks use different maps.
//
// A round prepares a map with a new version on all ranks, holds a future pass
// on one rank, arms the map for that pass on all ranks, and releases the hold
// once every rank reports that it is armed. Orders may be lost, duplicated or
// executed seconds late; each one is repeated until the reports show its
// effect.
//
// If the ranks report holds or armed maps of a round that this coordinator did
// not start, that round is resolved. If all ranks are armed with one version,
// the hold is released. Otherwise a new version is prepared on every rank that
// is not armed, after which that rank can no longer be armed with the old one;
// then the armed ranks are disarmed, and then the hold is released. Two
// coordinators therefore cannot undo each other's steps. This requires that no
// two coordinators ever use the same version. What is prepared in order to
// resolve a round is the map that the ranks use, as they refuse a map with many
// experts that are new to them.
#ifndef MAP_CHANGE_ADVANCE_CHANGE_H_
#define MAP_CHANGE_ADVANCE_CHANGE_H_

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "map_change/rank_report.h"

namespace toucanhollow {

enum class ChangePhase {
  kIdle,
  kPreparing,
  kHolding,
  kArming,
  kReleasing,  // all ranks have reported that they are armed
  kResolving,
};

struct ChangeState {
  ChangePhase phase = ChangePhase::kIdle;
  std::string group;
  std::int64_t epoch = 0;
  GroupMapVersion version = 0;  // prepared by this round
  // The map that this round prepares, and the version that was in use when it
  // was planned.
  GroupMap map;
  GroupMapVersion base_version = 0;
  StepNumber hold_step = 0;
  std::string hold_server;
  TimePoint phase_started_at;
  // In kArming, the ranks that were not armed in the last reading, and since
  // when there have been no fewer.
  std::size_t unarmed_ranks = 0;
  TimePoint unarmed_since;
};

// One report from each rank, all requested after the last order that was
// answered. Incomplete if a rank did not report.
using GroupReading = std::vector<RankReport>;

// Passes between the current one and the one that is held. With 2, the group
// reached the held pass before all ranks were armed, and stalled.
inline constexpr StepNumber kDefaultHoldLead = 3;

// A map as it was read from the ranks.
struct MapInUse {
  std::int64_t epoch = -1;
  GroupMapVersion version = -1;
  GroupMap map;
};

struct ChangeInput {
  GroupReading reading;
  // A version that no coordinator has used and that is higher than all that
  // this one has used.
  GroupMapVersion free_version = 0;
  // A better map, for a round that starts if the group is idle.
  std::optional<GroupMap> target_map;
  // The last map that was known to be in use, which another coordinator may
  // have replaced. The map in use is prepared again when a round is resolved.
  MapInUse current_map;
  // Larger while orders go unanswered, so that they can be repeated before the
  // group reaches the held pass.
  StepNumber hold_lead = kDefaultHoldLead;
};

struct ChangeDecision {
  ChangeState state;
  // Orders to send at once, in any order.
  std::vector<RankOrder> orders;
  // Describes the change for logs; empty if nothing changed.
  std::string note;
};

// A round is abandoned if preparation takes longer. That is safe because no
// pass depends on the round yet.
inline constexpr Duration kPrepareTimeout = Seconds(6);

// A round is resolved if no further rank becomes armed for longer. The group
// may be standing at the held pass, and callers leave after 2 s without an
// event.
inline constexpr Duration kMaxArmingPause = Seconds(1);

// True if the reading contains every rank of one open group in one epoch.
bool IsCompleteReading(const GroupReading& reading);

// True if the reading shows that all ranks use this map. Requires that the
// reading is complete.
bool IsInUse(const MapInUse& map, const GroupReading& reading);

// The highest version that any rank uses, has prepared or is armed with.
GroupMapVersion HighestVersion(const GroupReading& reading);

// Advances the round by one step and returns the new state with the orders to
// send. Returns the state unchanged while the reading is incomplete.
ChangeDecision AdvanceChange(const ChangeState& state,
                             const ChangeInput& input,
                             TimePoint now);

}  // namespace toucanhollow

#endif  // MAP_CHANGE_ADVANCE_CHANGE_H_
