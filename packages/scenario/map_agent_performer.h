// One run of the agent of a rank: carries out the orders and appends of map
// changes.
#ifndef SCENARIO_MAP_AGENT_PERFORMER_H_
#define SCENARIO_MAP_AGENT_PERFORMER_H_

#include <optional>
#include <string>

#include "expert_map/map_fold.h"
#include "expert_map/participant.h"
#include "expert_map/propose_change.h"
#include "scenario/fake_group.h"
#include "scenario/site.h"

namespace toucanhollow {

class MapAgentPerformer {
 public:
  MapAgentPerformer(Site& site,
                    const NodeSetup& setup,
                    Incarnation incarnation);

 private:
  void OnMapsRead(const LogRead& read);
  void StepNow();
  void Perform(const ParticipantAction& action);
  void Append(const MapEntry& entry, Moment moment);
  void ProposeIfWanted();
  void Watch();
  GroupStatus Status() const;

  Site& site;
  World& world;
  NodeSetup setup;
  Incarnation incarnation;
  FakeGroup& group;
  MapFold fold;
  Participant participant;
  std::optional<LogOffset> log_end;
  LogOffset newest_end = 0;
  bool log_reached = false;
  Duration last_append{};
  // A proposal of this agent whose fate is not read yet.
  bool proposing = false;
  // The open change whose proposal or decision was noted.
  ChangeOffset noted = 0;
};

}  // namespace toucanhollow

#endif  // SCENARIO_MAP_AGENT_PERFORMER_H_
