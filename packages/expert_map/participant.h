// The agent of one rank in map changes: compares the engine's status with the
// decisions in the log and derives orders and appends.
//
// Invariants:
// - P1 Every order follows from immutable facts of the log: a change's map,
//   activation step and decision. A paused agent that wakes can only repeat
//   true orders, so that engines that ignore the fencing token are safe.
// - P2 A confirm is appended only while the engine reports weights staged, the
//   hold in place and a step below the activation step, and never after this
//   agent's abort. A change is worked on only once the change before it is in
//   force on the engine, so that an engine needs to hold for one change only.
// - P3 A hold is lifted only by a decision that was read. A confirm whose
// append
//   takes effect late is therefore met by an engine that still holds.
// - P4 Nothing is ordered before the log was read up to the end seen at start
//   and the engine's status is known.
// - P5 An engine without a map is given one only while no change is open, and
// if
//   a committed change lies ahead, only after that change is staged and held.
//   Without this, a replaced engine could step past the activation step on the
//   old map before its agent's next order.
#ifndef EXPERT_MAP_PARTICIPANT_H_
#define EXPERT_MAP_PARTICIPANT_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/incarnation.h"
#include "base/name.h"
#include "base/result.h"
#include "base/time.h"
#include "expert_map/map_fold.h"
#include "expert_map/map_record.h"

namespace toucanhollow {

// An order or append is repeated after this if its effect is not seen.
constexpr Duration kMapRetryDelay = Milliseconds(500);

// What the engine reports of its map. A hold belongs to the staged change, and
// is refused or ignored once its step has begun; so is an activation.
struct MapEngineStatus {
  Incarnation incarnation;
  // The step that runs, or ran last, of the group. Below 0 if the group has not
  // stepped since all its engines started; LoadOrder then gives the first step.
  StepNumber step = -1;
  // The version of the map that the engine runs; none if it has no map loaded.
  std::optional<ChangeOffset> version;
  // The change whose weights are loaded besides.
  std::optional<ChangeOffset> staged;
  // The step that the engine will not begin.
  std::optional<StepNumber> hold_step;

  bool operator==(const MapEngineStatus&) const = default;
};

// Orders to the engine. `change` is the fencing token as well.
struct StageOrder {
  ChangeOffset change = 0;
  ExpertMap map;
  bool operator==(const StageOrder&) const = default;
};
struct HoldOrder {
  ChangeOffset change = 0;
  StepNumber step = 0;
  bool operator==(const HoldOrder&) const = default;
};
// From `step` on, run the map of the change; lifts its hold.
struct ActivateOrder {
  ChangeOffset change = 0;
  StepNumber step = 0;
  bool operator==(const ActivateOrder&) const = default;
};
// The change was aborted: drop it and its hold; the map stays.
struct ContinueOrder {
  ChangeOffset change = 0;
  StepNumber step = 0;
  bool operator==(const ContinueOrder&) const = default;
};
// For an engine without a map: load this version before its first step. An
// empty map of version 0 means the group's initial map. Names the engine's
// incarnation, and an engine that has a map ignores it, because it is the only
// order that is not true for every later step.
struct LoadOrder {
  MapVersion version;
  // Steps are counted from here if the group has not stepped yet.
  StepNumber first_step = 0;
  Incarnation engine;
  bool operator==(const LoadOrder&) const = default;
};
using MapOrder = std::
    variant<StageOrder, HoldOrder, ActivateOrder, ContinueOrder, LoadOrder>;

// Append to stream `maps`, repeated until the log shows it.
struct AppendConfirm {
  ConfirmRecord record;
  bool operator==(const AppendConfirm&) const = default;
};
struct AppendAbort {
  AbortRecord record;
  bool operator==(const AppendAbort&) const = default;
};
// The engine runs or holds what the log does not explain; the rank must not
// take new work until it is mended. Code: kMapEngineMismatch.
struct ReportMapMismatch {
  Failure failure{ResultCode::kMapEngineMismatch, {}};
  bool operator==(const ReportMapMismatch&) const = default;
};
using ParticipantAction =
    std::variant<MapOrder, AppendConfirm, AppendAbort, ReportMapMismatch>;

struct Participant {
  ServiceName group;
  int rank = 0;
  Incarnation incarnation;
  bool replayed = false;
  // The open change that this agent follows.
  ChangeOffset change = 0;
  TimePoint change_read;
  // The engine's incarnation when the change was first seen.
  Incarnation engine;
  // Why this agent wants the change aborted; empty if it does not.
  std::string abort_reason;
  // The last action, to repeat it only after kMapRetryDelay.
  std::optional<ParticipantAction> last_action;
  TimePoint last_action_at;
  // The last status did not agree with the log.
  bool mismatch = false;

  bool operator==(const Participant&) const = default;
};

struct ParticipantStep {
  Participant participant;
  std::vector<ParticipantAction> actions;
};

Participant MakeParticipant(ServiceName group,
                            int rank,
                            Incarnation incarnation);

// Notes the offset of the last entry as a read after the start reported it.
Participant NoteMapLogEnd(Participant participant,
                          const MapFold& fold,
                          LogOffset end);

// To be called after every entry, every status and every kMapRetryDelay.
ParticipantStep StepParticipant(Participant participant,
                                const GroupMaps& maps,
                                const MapEngineStatus& engine,
                                TimePoint now);

}  // namespace toucanhollow

#endif  // EXPERT_MAP_PARTICIPANT_H_
