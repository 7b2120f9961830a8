// AdvanceChange: how a coordinator changes the expert map of a group so that no
// pass ever begins while two ranks have different maps.
//
// A round prepares a map of a new version on all ranks, holds a coming pass on
// one rank, arms the map for that pass on all ranks, and releases the hold once
// every rank reports that it is armed. Orders may be lost, doubled or carried
// out seconds later; each is repeated until reports show its effect.
//
// A group that shows holds or armed maps of somebody else's round is resolved:
// if all ranks are armed with one version, the hold is released. Otherwise a
// new version is prepared on every rank that is not armed, which makes arming
// the old one impossible there for good; then the armed ranks are disarmed, and
// then the hold is released. So two coordinators cannot undo each other's
// steps. It requires that no two coordinators ever use the same version.
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
  kReleasing,  // all ranks were seen armed
  kResolving,
};

struct ChangeState {
  ChangePhase phase = ChangePhase::kIdle;
  std::string group;
  std::int64_t epoch = 0;
  GroupMapVersion version = 0;  // of this round
  // The map that the round prepares.
  GroupMap map;
  StepNumber hold_step = 0;
  std::string hold_server;
  TimePoint phase_began;
};

// All ranks' reports of one reading, each asked after the last order that was
// answered. Incomplete if a rank did not answer.
using GroupReading = std::vector<RankReport>;

// Passes between the present one and the one that is held. With 2, the group
// reached the held pass before all ranks were armed and stood.
inline constexpr StepNumber kHoldLead = 3;

struct ChangeInput {
  GroupReading reading;
  // A version that no coordinator has used, above all that this one has used.
  GroupMapVersion free_version = 0;
  // A better map, to be begun while the group is idle.
  std::optional<GroupMap> wanted;
  // The map in use, to prepare again when a group is resolved.
  GroupMap present;
  // More while orders go unanswered, so that they can be repeated before the
  // group reaches the held pass.
  StepNumber hold_lead = kHoldLead;
};

struct ChangeDecision {
  ChangeState state;
  // Orders to send now, in any order, at once.
  std::vector<RankOrder> orders;
  // For logs, empty if nothing changed.
  std::string note;
};

// Preparation that takes longer is given up; nothing depends on it yet.
inline constexpr Duration kPrepareTimeout = Seconds(6);

// True if the reading has every rank of one open group in one epoch.
bool IsCompleteReading(const GroupReading& reading);

// The highest version that any rank uses, has prepared or is armed with.
GroupMapVersion HighestVersion(const GroupReading& reading);

ChangeDecision AdvanceChange(const ChangeState& state,
                             const ChangeInput& input,
                             TimePoint now);

}  // namespace toucanhollow

#endif  // MAP_CHANGE_ADVANCE_CHANGE_H_
