#include "expert_map/participant.h"

#include <algorithm>
#include <string>
#include <utility>

namespace toucanhollow {
namespace {

// The next action, if any.
using OptionalAction = std::optional<ParticipantAction>;

OptionalAction MakeOrder(MapOrder order) {
  return ParticipantAction(std::move(order));
}

OptionalAction AbortChange(Participant& participant, std::string reason) {
  participant.abort_reason = std::move(reason);
  return ParticipantAction(
      AppendAbort{{participant.change, participant.abort_reason}});
}

// Records when the open change was first seen and which engine was running.
void FollowOpenChange(Participant& participant,
                      const OpenChange& open,
                      const MapEngineStatus& engine,
                      TimePoint now) {
  if (participant.change == open.offset) {
    return;
  }
  participant.change = open.offset;
  participant.change_read_at = now;
  participant.engine = engine.incarnation;
  participant.abort_reason.clear();
}

// Why the open change must be aborted; none if it may be committed.
std::optional<std::string> FindAbortReason(const Participant& participant,
                                           const OpenChange& open,
                                           const MapEngineStatus& engine,
                                           TimePoint now) {
  const ProposeRecord& proposal = open.proposal;
  if (!participant.abort_reason.empty()) {
    return participant.abort_reason;
  }
  if (now - participant.change_read_at >= proposal.lead / 2) {
    return "the change was not decided within half of its lead time";
  }
  if (engine.step >= proposal.activation_step) {
    return "the engine has begun the activation step";
  }
  if (!open.confirms.contains(participant.rank) &&
      (engine.incarnation != participant.engine || !engine.version)) {
    return "the engine was replaced before its confirm was read";
  }
  return std::nullopt;
}

OptionalAction AdvanceOpenChange(Participant& participant,
                                 const GroupMaps& maps,
                                 const MapEngineStatus& engine,
                                 TimePoint now) {
  const OpenChange& open = *maps.open;
  const StepNumber activation = open.proposal.activation_step;
  FollowOpenChange(participant, open, engine, now);
  if (auto reason = FindAbortReason(participant, open, engine, now)) {
    return AbortChange(participant, std::move(*reason));
  }
  // An engine without a map waits for the decision (P5).
  if (!engine.version || engine.version != CurrentMap(maps).version ||
      participant.rank >= open.proposal.ranks) {
    return std::nullopt;
  }
  if (engine.staged != open.offset) {
    return MakeOrder(StageOrder{open.offset, open.proposal.map});
  }
  if (engine.hold_step != activation) {
    return MakeOrder(HoldOrder{open.offset, activation});
  }
  if (open.confirms.contains(participant.rank)) {
    return std::nullopt;
  }
  return ParticipantAction(
      AppendConfirm{{open.offset, participant.rank, participant.incarnation,
                     engine.incarnation, engine.step}});
}

// Drops a staged change and its hold if the change was aborted or a later
// change has superseded it.
OptionalAction DropStaleChange(const GroupMaps& maps,
                               const MapEngineStatus& engine) {
  if (!engine.staged) {
    return std::nullopt;
  }
  const std::optional<DecidedChange> decided = DecisionOf(maps, *engine.staged);
  if (!decided ||
      (decided->committed && decided->offset == CurrentMap(maps).version)) {
    return std::nullopt;
  }
  return MakeOrder(ContinueOrder{decided->offset, decided->activation_step});
}

// Prepares the engine for the committed change whose activation step has not
// begun.
OptionalAction PrepareActivation(const MapVersion& upcoming,
                                 const MapEngineStatus& engine) {
  if (engine.staged != upcoming.version) {
    return MakeOrder(StageOrder{upcoming.version, upcoming.map});
  }
  if (engine.version) {
    return MakeOrder(ActivateOrder{upcoming.version, upcoming.activation_step});
  }
  if (engine.hold_step != upcoming.activation_step) {
    return MakeOrder(HoldOrder{upcoming.version, upcoming.activation_step});
  }
  return std::nullopt;
}

// Loads the map for the next step on an engine that has no map.
OptionalAction LoadFirstMap(const GroupMaps& maps,
                            const MapEngineStatus& engine,
                            StepNumber next_step) {
  if (engine.version || maps.open) {
    return std::nullopt;
  }
  const std::optional<MapVersion> version = MapForStep(maps, next_step);
  return version ? MakeOrder(LoadOrder{*version, next_step, engine.incarnation})
                 : std::nullopt;
}

// Derives the next order from the decisions that were read.
OptionalAction ApplyDecisions(const GroupMaps& maps,
                              const MapEngineStatus& engine) {
  if (OptionalAction drop = DropStaleChange(maps, engine)) {
    return drop;
  }
  const MapVersion& current = CurrentMap(maps);
  // A group that has not stepped since its engines started resumes at the
  // activation step of the current map.
  const StepNumber next_step =
      engine.step < 0 ? current.activation_step : engine.step + 1;
  if (current.version != 0 && next_step <= current.activation_step &&
      engine.step >= 0) {
    if (OptionalAction prepare = PrepareActivation(current, engine)) {
      return prepare;
    }
  }
  return LoadFirstMap(maps, engine, next_step);
}

// How the engine's status contradicts the log; none if they agree.
std::optional<std::string> FindMismatch(const GroupMaps& maps,
                                        const MapEngineStatus& engine) {
  const std::optional<MapVersion> expected = MapForStep(maps, engine.step);
  if (engine.step >= 0 && !expected && maps.open &&
      engine.step >= maps.open->proposal.activation_step) {
    return "the engine began step " + std::to_string(engine.step) +
           ", although the map for this step is not decided";
  }
  if (engine.step >= 0 && engine.version && expected &&
      *engine.version != expected->version) {
    return "the engine runs map " + std::to_string(*engine.version) +
           " at step " + std::to_string(engine.step) +
           ", but the log specifies map " + std::to_string(expected->version);
  }
  const auto explains_hold = [&](const auto& change) {
    return change.activation_step == *engine.hold_step;
  };
  const bool explained = !engine.hold_step ||
                         (maps.open && explains_hold(maps.open->proposal)) ||
                         std::ranges::any_of(maps.decided, explains_hold) ||
                         std::ranges::any_of(maps.versions, explains_hold);
  if (!explained) {
    return "the engine holds before step " + std::to_string(*engine.hold_step) +
           ", which is not the activation step of any known change";
  }
  return std::nullopt;
}

}  // namespace

Participant MakeParticipant(ServiceName group,
                            int rank,
                            Incarnation incarnation) {
  Participant participant;
  participant.group = std::move(group);
  participant.rank = rank;
  participant.incarnation = incarnation;
  return participant;
}

Participant ObserveMapLogEnd(Participant participant,
                             const MapFold& fold,
                             LogOffset end) {
  participant.log_replayed = participant.log_replayed || fold.next_offset > end;
  return participant;
}

ParticipantStep AdvanceParticipant(Participant participant,
                                   const GroupMaps& maps,
                                   const MapEngineStatus& engine,
                                   TimePoint now) {
  ParticipantStep step{std::move(participant), {}};
  Participant& state = step.participant;
  if (!state.log_replayed || !maps.known) {
    return step;
  }
  const std::optional<std::string> mismatch = FindMismatch(maps, engine);
  if (mismatch && !state.mismatch) {
    step.actions.emplace_back(ReportMapMismatch{
        MakeFailure(ResultCode::kMapEngineMismatch, *mismatch)});
  }
  state.mismatch = mismatch.has_value();
  OptionalAction action = ApplyDecisions(maps, engine);
  if (!action && maps.open) {
    action = AdvanceOpenChange(state, maps, engine, now);
  }
  if (!action) {
    return step;
  }
  if (state.last_action == action &&
      now - state.last_action_at < kMapRetryDelay) {
    return step;
  }
  state.last_action = action;
  state.last_action_at = now;
  step.actions.push_back(std::move(*action));
  return step;
}

}  // namespace toucanhollow
