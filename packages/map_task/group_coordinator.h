// GroupCoordinator: reads the ranks of one model group and changes its expert
// maps round by round, while this host is the coordinator.
//
// A service may have several groups. Each has its own epoch, demand, holds and
// pace, and its rounds do not wait for those of another.
#ifndef MAP_TASK_GROUP_COORDINATOR_H_
#define MAP_TASK_GROUP_COORDINATOR_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "expert_map/even_placement.h"
#include "map_change/advance_change.h"
#include "map_change/change_timing.h"
#include "map_change/group_registry.h"
#include "map_task/coordinator_versions.h"
#include "map_task/demand.h"
#include "map_task/rank_calls.h"

namespace toucanhollow {

// What the ranks of a service have in common.
struct ExpertParameters {
  EvenPlacementLimits limits;
  int sets = 0;                  // sets of layers, each with a map of its own
  Duration expert_load_time{0};  // that a rank takes to load one expert

  bool operator==(const ExpertParameters&) const = default;
};

class GroupCoordinator {
 public:
  // `on_report` gets each report, also of a rank that has left the group.
  // `versions` is shared by the rounds of all groups.
  GroupCoordinator(GroupKey group,
                   RankCalls& calls,
                   CoordinatorVersions& versions,
                   std::function<void(const RankReport&)> on_report);

  // The group's ranks as far as they are known.
  void SetRanks(std::vector<RankAddress> ranks,
                const ExpertParameters& parameters);
  // Begins what is due. `versions` has the present term.
  void Tick(TimePoint now);
  // Forgets the round under way; another host coordinates.
  void Stop();

  // Servers of slow ranks in the last reading.
  const std::set<std::string>& slow_ranks() const { return this->slow_servers; }

 private:
  void ReadReports(TimePoint now);
  void OnReports(const std::vector<RankAnswer>& answers, TimePoint asked_at);
  // The reading, if it is complete and recent enough to decide on.
  std::optional<GroupReading> ToReading(const std::vector<RankAnswer>& answers,
                                        Duration took);
  // Takes the next step of a round, or begins one, by the last reading.
  void AdvanceRound(TimePoint now);
  // A coordinator of a later term than `generation` has taken over.
  void MarkDeposed(std::int64_t generation);
  // Finds the slow ranks of the last reading.
  void UpdateSlowRanks();
  // Logs when readings become complete or stop being so; no problem means that
  // this one is.
  void UpdateReadingProblem(std::string_view problem,
                            std::string_view server,
                            Duration took);
  void SendOrders(const ChangeDecision& decision);
  void OnOrdersAnswered(const std::vector<RankAnswer>& answers,
                        std::int64_t generation,
                        TimePoint asked_at);
  void ReadChoices();
  void OnChoices(const std::vector<RankAnswer>& answers);
  void ReadCurrentMap();
  void OnCurrentMap(const std::vector<RankAnswer>& answers);
  std::optional<GroupMap> PlanTargetMap();
  std::vector<RankCall> CallAll(RankRequestKind kind) const;
  // Starts calls whose answers are dropped once this object is gone.
  void Call(const std::vector<RankCall>& calls,
            bool fall_back_to_engine,
            RankCalls::Done done);

  GroupKey group;
  RankCalls& calls;
  CoordinatorVersions& versions;
  std::function<void(const RankReport&)> on_report;
  std::vector<RankAddress> ranks;
  ExpertParameters parameters;
  ChangeState state;
  GroupReading reading;
  // Of the last reading; empty if it was complete.
  std::string reading_problem;
  std::set<std::string> slow_servers;
  PassTiming pass_timing;
  // How long the last reading of all ranks took.
  Duration reading_duration{0};
  Demand demand;
  // The map in use, known for this epoch and version.
  GroupMap current_map;
  std::int64_t current_map_epoch = -1;
  GroupMapVersion current_map_version = -1;
  bool reports_pending = false;
  bool choices_pending = false;
  bool current_map_pending = false;
  TimePoint reports_read_at;
  TimePoint choices_read_at;
  // Where the next reading of choices begins among the ranks.
  std::size_t next_choice_rank = 0;
  std::optional<TimePoint> order_failed_at;
  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}  // namespace toucanhollow

#endif  // MAP_TASK_GROUP_COORDINATOR_H_
