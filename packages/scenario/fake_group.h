// The engines of a model group that advances in lock-step. Every rank runs the
// map that its own engine was ordered to run; nothing here compares them.
#ifndef SCENARIO_FAKE_GROUP_H_
#define SCENARIO_FAKE_GROUP_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "expert_map/participant.h"
#include "scenario/world.h"

namespace toucanhollow {

constexpr Duration kGroupStepTime = Milliseconds(100);
constexpr Duration kStagingTime = Milliseconds(500);

class FakeGroup {
 public:
  FakeGroup(World& world, std::string name);

  void AddRank(const NodeSetup& setup);
  MapEngineStatus StatusOf(int rank) const;
  // An order of the rank's agent. An engine with fencing refuses the orders of
  // a change older than the newest it has seen.
  void Order(int rank, const MapOrder& order);
  void StallUntil(int rank, TimePoint time);
  // A new engine process without a map.
  void Restart(int rank);

  StepNumber step() const { return this->present_step; }
  int ranks() const { return static_cast<int>(this->engines.size()); }

 private:
  struct Engine {
    NodeSetup setup;
    MapEngineStatus status;
    std::optional<ChangeOffset> loading;
    // The activation that was ordered, by its step.
    std::optional<std::pair<StepNumber, ChangeOffset>> activation;
    ChangeOffset newest_token = 0;
    TimePoint stalled_until{};
  };
  struct Obey;
  void Advance();

  World& world;
  std::string name;
  std::map<int, Engine> engines;
  StepNumber present_step = 0;
};

}  // namespace toucanhollow

#endif  // SCENARIO_FAKE_GROUP_H_
