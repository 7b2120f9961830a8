#include "scenario/map_agent_performer.h"

#include <utility>
#include <variant>

#include "log_codec/map_codec.h"
#include "scenario/log_follower.h"

namespace toucanhollow {
namespace {

constexpr Duration kWatchInterval = Milliseconds(100);

}  // namespace

MapAgentPerformer::MapAgentPerformer(Site& site,
                                     const NodeSetup& setup,
                                     Incarnation incarnation)
    : site(site),
      world(site.world),
      setup(setup),
      incarnation(incarnation),
      group(*site.groups.at(setup.service)),
      participant(MakeParticipant(ServiceName{setup.service},
                                  setup.rank,
                                  incarnation)) {
  FollowLog(
      this->world, setup.name, incarnation, "maps",
      [this] { return this->fold.next_offset; },
      [this](const LogRead& read) { this->OnMapsRead(read); });
  this->world.InProcess(setup.name, incarnation, [this] { this->Watch(); });
}

void MapAgentPerformer::OnMapsRead(const LogRead& read) {
  this->log_reached = read.reached;
  if (!read.reached) {
    return;
  }
  this->log_end = this->log_end.value_or(read.end);
  this->newest_end = read.end;
  for (const LogEntry& entry : read.entries) {
    this->fold = FoldMapEntry(std::move(this->fold), DecodeMapEntry(entry));
    const GroupMaps maps =
        MapsOfGroup(this->fold, ServiceName{this->setup.service});
    if (maps.open && maps.open->offset != this->noted) {
      this->noted = maps.open->offset;
      this->world.Reach(Moment::kProposalRead, this->setup.name);
    } else if (!maps.open && this->noted != 0) {
      this->noted = 0;
      this->world.Reach(Moment::kDecisionRead, this->setup.name);
    }
  }
  this->participant = ObserveMapLogEnd(std::move(this->participant), this->fold,
                                       *this->log_end);
  this->StepNow();
}

void MapAgentPerformer::StepNow() {
  ParticipantStep step = AdvanceParticipant(
      std::move(this->participant),
      MapsOfGroup(this->fold, ServiceName{this->setup.service}),
      this->group.StatusOf(this->setup.rank), this->world.Now());
  this->participant = std::move(step.participant);
  for (const ParticipantAction& action : step.actions) {
    this->Perform(action);
  }
}

void MapAgentPerformer::Perform(const ParticipantAction& action) {
  MapEntry entry;
  entry.group = ServiceName{this->setup.service};
  if (const auto* order = std::get_if<MapOrder>(&action)) {
    this->world.InProcess(this->setup.name, this->incarnation,
                          [=, this, order = *order] {
                            this->group.Order(this->setup.rank, order);
                          });
  } else if (const auto* confirm = std::get_if<AppendConfirm>(&action)) {
    entry.record = confirm->record;
    this->Append(entry, Moment::kConfirmSent);
    const GroupMaps maps = MapsOfGroup(this->fold, entry.group);
    if (this->world.Has(Defect::kActivateWithoutDecision) && maps.open) {
      this->group.Order(this->setup.rank,
                        ActivateOrder{maps.open->offset,
                                      maps.open->proposal.activation_step});
    }
  } else if (const auto* abort = std::get_if<AppendAbort>(&action)) {
    entry.record = abort->record;
    this->Append(entry, Moment::kAbortSent);
  }
}

void MapAgentPerformer::Append(const MapEntry& entry, Moment moment) {
  this->world.Reach(moment, this->setup.name);
  const TimePoint begun = this->world.Now();
  AppendToLog(this->world, this->setup.name, this->incarnation, "maps",
              {EncodeMapEntry(entry)}, [=, this](AppendAnswer, LogOffset) {
                this->last_append = this->world.Now() - begun;
                this->proposing = false;
              });
}

GroupStatus MapAgentPerformer::Status() const {
  GroupStatus status;
  status.group = ServiceName{this->setup.service};
  status.ranks = this->group.ranks();
  status.step = this->group.step();
  status.step_time = kGroupStepTime;
  status.staging_time = kStagingTime;
  for (const NodeSetup& node : this->site.scenario.nodes) {
    if (node.service == this->setup.service &&
        this->world.IncarnationOf(node.name) != Incarnation{}) {
      status.alive_ranks.insert(node.rank);
    }
  }
  return status;
}

// Proposes a map until one of the wanted changes was decided.
void MapAgentPerformer::ProposeIfWanted() {
  const auto wanted = this->site.wanted_maps.find(this->setup.service);
  const GroupStatus status = this->Status();
  const GroupMaps maps = MapsOfGroup(this->fold, status.group);
  const auto decided = static_cast<int>(maps.decided.size());
  const bool proposes = IsProposer(status, this->setup.rank) ||
                        this->site.racing_groups.contains(this->setup.service);
  if (wanted == this->site.wanted_maps.end() || this->proposing ||
      decided >= wanted->second || !proposes) {
    return;
  }
  const Result<ProposeRecord> proposal = ProposeChange(
      this->fold, status,
      {.reachable = this->log_reached,
       .last_append = this->last_append,
       .end = this->newest_end,
       .retention = {}},
      InitialMap(status.ranks, 2 * status.ranks, 2),
      this->setup.name + "-" +
          std::to_string(this->world.Now().time_since_epoch().count()),
      ProcessName{this->setup.name});
  if (proposal.has_value()) {
    this->proposing = true;
    MapEntry entry;
    entry.group = status.group;
    entry.record = proposal.value();
    this->Append(entry, Moment::kProposalSent);
  }
}

void MapAgentPerformer::Watch() {
  this->StepNow();
  this->ProposeIfWanted();
  this->world.InProcessAfter(kWatchInterval, this->setup.name,
                             this->incarnation, [this] { this->Watch(); });
}

}  // namespace toucanhollow
