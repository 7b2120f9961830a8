// The agent of one rank as a participant in map changes: compares the engine's
// status with the decisions in the log, and derives orders to the engine and
// appends to the log.
//
// Invariants:
// - P1 Every order follows from immutable facts of the log: a change's map,
//   activation step and decision. An agent that resumes after a pause can only
//   repeat orders that are still valid, so engines that ignore the fencing
//   token are safe.
// - P2 A confirm is appended only while the engine reports that the weights are
//   staged, the hold is in place and its step is below the activation step, and
//   never after this agent's abort. A change is staged only once the change
//   before it is in force on the engine, so that an engine holds for one change
//   at a time.
// - P3 A hold is released only after a decision was read. If the append of a
//   confirm takes effect late, the engine therefore still holds.
// - P4 No order is given before the log was read up to the end seen at start,
//   and the engine's status is known.
// - P5 An engine without a map gets one only while no change is open. If a
//   committed change is not active yet, the engine gets a map only after that
//   change is staged and held. Otherwise, a replaced engine could step past the
//   activation step on the old map before its agent's next order.
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

// An order or append is repeated after this time if its effect is not seen.
constexpr Duration kMapRetryDelay = Milliseconds(500);

// The engine's report about its map. A hold belongs to the staged change. The
// engine rejects or ignores a hold or an activation whose step has begun.
struct MapEngineStatus {
  Incarnation incarnation;
  // The group's current step, or its last one if none is running. Below 0 if
  // the group has not stepped since all its engines started; LoadOrder then
  // gives the first step.
  StepNumber step = -1;
  // The version of the map that the engine runs on; none if no map is loaded.
  std::optional<ChangeOffset> version;
  // The change whose weights are loaded in addition.
  std::optional<ChangeOffset> staged;
  // The engine does not begin this step while the hold lasts.
  std::optional<StepNumber> hold_step;

  bool operator==(const MapEngineStatus&) const = default;
};

// Orders the engine to load the weights of the change's map in addition to
// those in use. In this order and the next three, `change` is also the fencing
// token.
struct StageOrder {
  ChangeOffset change = 0;
  ExpertMap map;
  bool operator==(const StageOrder&) const = default;
};
// Orders the engine not to begin `step` until the change is activated or
// dropped.
struct HoldOrder {
  ChangeOffset change = 0;
  StepNumber step = 0;
  bool operator==(const HoldOrder&) const = default;
};
// Orders the engine to run on the map of the change from `step` on, and
// releases the hold of the change.
struct ActivateOrder {
  ChangeOffset change = 0;
  StepNumber step = 0;
  bool operator==(const ActivateOrder&) const = default;
};
// Orders the engine to drop a staged change that was aborted or superseded, to
// release its hold, and to continue on the present map.
struct ContinueOrder {
  ChangeOffset change = 0;
  StepNumber step = 0;
  bool operator==(const ContinueOrder&) const = default;
};
// Orders an engine without a map to load this version before the first step. An
// empty map of version 0 means the group's initial map. This is the only order
// that does not stay valid for later steps. It therefore names the engine's
// incarnation, and an engine that has a map ignores it.
struct LoadOrder {
  MapVersion version;
  // The number of the group's next step. Steps are numbered from here if the
  // group has not stepped yet.
  StepNumber first_step = 0;
  Incarnation engine;
  bool operator==(const LoadOrder&) const = default;
};
using MapOrder = std::
    variant<StageOrder, HoldOrder, ActivateOrder, ContinueOrder, LoadOrder>;

// Records to append to stream `maps`. An append is repeated until the record is
// read from the log.
struct AppendConfirm {
  ConfirmRecord record;
  bool operator==(const AppendConfirm&) const = default;
};
struct AppendAbort {
  AbortRecord record;
  bool operator==(const AppendAbort&) const = default;
};
// The engine runs on a map or holds before a step that the log does not account
// for. The rank must not accept new work until this is resolved. Result code:
// kMapEngineMismatch.
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
  // True once the log was read up to the end seen at start.
  bool log_replayed = false;
  // The open change that this agent follows.
  ChangeOffset change = 0;
  // When this agent first saw the change.
  TimePoint change_read_at;
  // The engine's incarnation when the change was first seen.
  Incarnation engine;
  // Why this agent aborts the change; empty if it does not.
  std::string abort_reason;
  // The last action. It is repeated only after kMapRetryDelay.
  std::optional<ParticipantAction> last_action;
  TimePoint last_action_at;
  // True if the last engine status did not agree with the log.
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

// Marks the log as replayed once the fold has read up to `end`, the offset of
// the last entry that a read after the start reported.
Participant ObserveMapLogEnd(Participant participant,
                             const MapFold& fold,
                             LogOffset end);

// Derives the next actions. To be called after every entry and engine status
// that was read, and every kMapRetryDelay.
ParticipantStep AdvanceParticipant(Participant participant,
                                   const GroupMaps& maps,
                                   const MapEngineStatus& engine,
                                   TimePoint now);

}  // namespace toucanhollow

#endif  // EXPERT_MAP_PARTICIPANT_H_
