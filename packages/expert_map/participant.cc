#include "expert_map/participant.h"

#include <algorithm>
#include <string>
#include <utility>

namespace toucanhollow {
namespace {

using Wanted = std::optional<ParticipantAction>;

Wanted Order(MapOrder order) {
  return ParticipantAction(std::move(order));
}

Wanted Abort(Participant& participant, std::string reason) {
  participant.abort_reason = std::move(reason);
  return ParticipantAction(
      AppendAbort{{participant.change, participant.abort_reason}});
}

// Remembers when the open change was read and on which engine.
void FollowOpenChange(Participant& participant,
                      const OpenChange& open,
                      const MapEngineStatus& engine,
                      TimePoint now) {
  if (participant.change == open.offset) {
    return;
  }
  participant.change = open.offset;
  participant.change_read = now;
  participant.engine = engine.incarnation;
  participant.abort_reason.clear();
}

// Why the open change cannot or should not be committed, none if it may.
std::optional<std::string> FindAbortReason(const Participant& participant,
                                           const OpenChange& open,
                                           const MapEngineStatus& engine,
                                           TimePoint now) {
  const ProposeRecord& proposal = open.proposal;
  if (!participant.abort_reason.empty()) {
    return participant.abort_reason;
  }
  if (now - participant.change_read >= proposal.lead / 2) {
    return "no decision by half of the lead";
  }
  if (engine.step >= proposal.activation_step) {
    return "the activation step has begun";
  }
  if (!open.confirms.contains(participant.rank) &&
      (engine.incarnation != participant.engine || !engine.version)) {
    return "the engine was replaced before its confirm";
  }
  return std::nullopt;
}

Wanted WorkOnOpenChange(Participant& participant,
                        const GroupMaps& maps,
                        const MapEngineStatus& engine,
                        TimePoint now) {
  const OpenChange& open = *maps.open;
  const StepNumber activation = open.proposal.activation_step;
  FollowOpenChange(participant, open, engine, now);
  if (auto reason = FindAbortReason(participant, open, engine, now)) {
    return Abort(participant, std::move(*reason));
  }
  // Without a map, the engine waits for the decision (P5).
  if (!engine.version || engine.version != CurrentMap(maps).version ||
      participant.rank >= open.proposal.ranks) {
    return std::nullopt;
  }
  if (engine.staged != open.offset) {
    return Order(StageOrder{open.offset, open.proposal.map});
  }
  if (engine.hold_step != activation) {
    return Order(HoldOrder{open.offset, activation});
  }
  if (open.confirms.contains(participant.rank)) {
    return std::nullopt;
  }
  return ParticipantAction(
      AppendConfirm{{open.offset, participant.rank, participant.incarnation,
                     engine.incarnation, engine.step}});
}

// A staged change that was aborted, or that a change after it has replaced, is
// dropped with its hold.
Wanted DropStaleChange(const GroupMaps& maps, const MapEngineStatus& engine) {
  if (!engine.staged) {
    return std::nullopt;
  }
  const std::optional<DecidedChange> decided = DecisionOf(maps, *engine.staged);
  if (!decided ||
      (decided->committed && decided->offset == CurrentMap(maps).version)) {
    return std::nullopt;
  }
  return Order(ContinueOrder{decided->offset, decided->activation_step});
}

// Prepares the committed change that lies ahead of the engine's step.
Wanted PrepareActivation(const MapVersion& ahead,
                         const MapEngineStatus& engine) {
  if (engine.staged != ahead.version) {
    return Order(StageOrder{ahead.version, ahead.map});
  }
  if (engine.version) {
    return Order(ActivateOrder{ahead.version, ahead.activation_step});
  }
  if (engine.hold_step != ahead.activation_step) {
    return Order(HoldOrder{ahead.version, ahead.activation_step});
  }
  return std::nullopt;
}

// The map for the first step of an engine that has none loaded.
Wanted LoadFirstMap(const GroupMaps& maps,
                    const MapEngineStatus& engine,
                    StepNumber next) {
  if (engine.version || maps.open) {
    return std::nullopt;
  }
  const std::optional<MapVersion> version = MapForStep(maps, next);
  return version ? Order(LoadOrder{*version, next, engine.incarnation})
                 : std::nullopt;
}

// What follows from the decisions that were read.
Wanted CarryOutDecisions(const GroupMaps& maps, const MapEngineStatus& engine) {
  if (Wanted drop = DropStaleChange(maps, engine)) {
    return drop;
  }
  const MapVersion& current = CurrentMap(maps);
  // A group that has not stepped resumes on the current map.
  const StepNumber next =
      engine.step < 0 ? current.activation_step : engine.step + 1;
  if (current.version != 0 && next <= current.activation_step &&
      engine.step >= 0) {
    if (Wanted prepare = PrepareActivation(current, engine)) {
      return prepare;
    }
  }
  return LoadFirstMap(maps, engine, next);
}

// What the engine reports against the log, none if they agree.
std::optional<std::string> FindMismatch(const GroupMaps& maps,
                                        const MapEngineStatus& engine) {
  const std::optional<MapVersion> expected = MapForStep(maps, engine.step);
  if (engine.step >= 0 && !expected && maps.open &&
      engine.step >= maps.open->proposal.activation_step) {
    return "the engine began step " + std::to_string(engine.step) +
           ", whose map is not decided";
  }
  if (engine.step >= 0 && engine.version && expected &&
      *engine.version != expected->version) {
    return "the engine runs map " + std::to_string(*engine.version) +
           " at step " + std::to_string(engine.step) + ", the log says map " +
           std::to_string(expected->version);
  }
  const auto names_hold = [&](const auto& change) {
    return change.activation_step == *engine.hold_step;
  };
  const bool explained = !engine.hold_step ||
                         (maps.open && names_hold(maps.open->proposal)) ||
                         std::ranges::any_of(maps.decided, names_hold) ||
                         std::ranges::any_of(maps.versions, names_hold);
  if (!explained) {
    return "the engine holds before step " + std::to_string(*engine.hold_step) +
           ", which no change names";
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

Participant NoteMapLogEnd(Participant participant,
                          const MapFold& fold,
                          LogOffset end) {
  participant.replayed = participant.replayed || fold.next_offset > end;
  return participant;
}

ParticipantStep StepParticipant(Participant participant,
                                const GroupMaps& maps,
                                const MapEngineStatus& engine,
                                TimePoint now) {
  ParticipantStep step{std::move(participant), {}};
  Participant& state = step.participant;
  if (!state.replayed || !maps.known) {
    return step;
  }
  const std::optional<std::string> mismatch = FindMismatch(maps, engine);
  if (mismatch && !state.mismatch) {
    step.actions.emplace_back(ReportMapMismatch{
        MakeFailure(ResultCode::kMapEngineMismatch, *mismatch)});
  }
  state.mismatch = mismatch.has_value();
  Wanted wanted = CarryOutDecisions(maps, engine);
  if (!wanted && maps.open) {
    wanted = WorkOnOpenChange(state, maps, engine, now);
  }
  if (!wanted) {
    return step;
  }
  if (state.last_action == wanted &&
      now - state.last_action_at < kMapRetryDelay) {
    return step;
  }
  state.last_action = wanted;
  state.last_action_at = now;
  step.actions.push_back(std::move(*wanted));
  return step;
}

}  // namespace toucanhollow
