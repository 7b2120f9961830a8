// GroupCoordinator: polls the ranks of one model group and changes its expert
// maps in rounds, while this host is the coordinator.
//
// A service may have several groups. Each has its own epoch, demand, holds and
// pass duration, and its rounds do not wait for those of another group.
#ifndef MAP_TASK_GROUP_COORDINATOR_H_
#define MAP_TASK_GROUP_COORDINATOR_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "expert_map/even_split_placement.h"
#include "map_change/advance_change.h"
#include "map_change/change_timing.h"
#include "map_change/coordinator_versions.h"
#include "map_change/group_registry.h"
#include "map_task/demand.h"
#include "map_task/rank_calls.h"

namespace toucanhollow {

// Parameters that all ranks of a service share.
struct ExpertParameters {
  EvenSplitPlacementLimits limits;
  int sets = 0;                  // sets of layers, each with its own map
  Duration expert_load_time{0};  // for a rank to load one expert

  bool operator==(const ExpertParameters&) const = default;
};

class GroupCoordinator {
 public:
  // `on_report` is called with each report, including that of a rank that has
  // left the group. `versions` is shared by the coordinators of all groups.
  GroupCoordinator(GroupKey group,
                   RankCalls& calls,
                   CoordinatorVersions& versions,
                   std::function<void(const RankReport&)> on_report);

  // Sets the known ranks of the group.
  void SetRanks(std::vector<RankAddress> ranks,
                const ExpertParameters& parameters);
  // Starts the readings that are due. Requires that `versions` contains the
  // current term.
  void Tick(TimePoint now);
  // Abandons the current round because another host coordinates.
  void Stop();

  // Servers of slow ranks in the last reading.
  const std::set<std::string>& slow_ranks() const { return this->slow_servers; }

 private:
  void ReadReports(TimePoint now);
  void OnReports(const std::vector<RankAnswer>& answers,
                 TimePoint requested_at);
  // Returns the reading if it is complete and recent enough to decide on,
  // otherwise nothing.
  std::optional<GroupReading> ToReading(const std::vector<RankAnswer>& answers,
                                        Duration duration);
  // Advances the current round, or starts one, based on the last reading.
  void AdvanceRound(TimePoint now);
  // Records that a coordinator of a later term than `generation` has taken
  // over.
  void MarkDeposed(const StorePosition& generation);
  // Updates the slow ranks from the last reading.
  void UpdateSlowRanks();
  // Logs when readings become complete or incomplete. An empty problem means
  // that this one is complete.
  void UpdateReadingProblem(std::string_view problem,
                            std::string_view server,
                            Duration duration);
  void SendOrders(const ChangeDecision& decision);
  void OnOrdersAnswered(const std::vector<RankAnswer>& answers,
                        const StorePosition& generation,
                        TimePoint requested_at);
  void ReadChoices();
  void OnChoices(const std::vector<RankAnswer>& answers);
  void ReadCurrentMap();
  void OnCurrentMap(const std::vector<RankAnswer>& answers);
  std::optional<GroupMap> PlanTargetMap();
  std::vector<RankCall> CallAll(RankRequestKind kind) const;
  // Starts calls whose answers are discarded after this object is destroyed.
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
  // What was wrong with the last reading; empty if it was complete.
  std::string reading_problem;
  std::set<std::string> slow_servers;
  PassTiming pass_timing;
  // How long the last reading of all ranks took.
  Duration reading_duration{0};
  Demand demand;
  // The last map that was known to be in use.
  MapInUse current_map;
  bool reports_pending = false;
  bool choices_pending = false;
  bool current_map_pending = false;
  TimePoint reports_read_at;
  TimePoint choices_read_at;
  // The index of the rank at which the next reading of choices begins.
  std::size_t next_choice_rank = 0;
  std::optional<TimePoint> order_unanswered_at;
  // Callbacks keep a weak pointer to this, which expires with this object.
  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}  // namespace toucanhollow

#endif  // MAP_TASK_GROUP_COORDINATOR_H_
