// GroupMapTask: keeps the ranks of a model group evenly loaded while this host
// is the coordinator.
#ifndef MAP_TASK_GROUP_MAP_TASK_H_
#define MAP_TASK_GROUP_MAP_TASK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "event_loop/event_loop.h"
#include "expert_map/even_placement.h"
#include "http_client/http_client.h"
#include "map_change/advance_change.h"
#include "map_change/change_pace.h"
#include "map_task/coordinator_task.h"
#include "map_task/demand.h"
#include "map_task/rank_calls.h"

namespace toucanhollow {

// The ranks as the host believes them now.
struct GroupView {
  std::vector<RankAddress> ranks;
  EvenPlacementLimits limits;
  int sets = 0;                  // sets of layers, each with a map of its own
  Duration expert_load_time{0};  // that a rank takes to load one expert
};

struct GroupMapCallbacks {
  std::function<GroupView()> view;
  // What some rank reported last.
  std::function<void(const RankReport& report)> on_report;
  // The servers of slow ranks; none while this host does not coordinate.
  std::function<void(const std::set<std::string>& servers)> on_slow_ranks;
};

class GroupMapTask {
 public:
  GroupMapTask(EventLoop& loop,
               HttpClient& client,
               const EngineMapCodec& codec,
               const Address& store,
               const std::string& member,
               GroupMapCallbacks callbacks);

  // Opens the socket for calls to agents. Fails with kSettingsInvalid.
  Result<bool> Start(const Address& local);

  // True while this host coordinates the group's maps.
  bool coordinates() const;
  // Gives coordination up; a round under way is left to the successor.
  void Leave();

 private:
  void Tick();
  void ReadReports();
  // Asks one rank whether the group is open.
  void ProbeGroup();
  void OnReports(const std::vector<RankAnswer>& answers, TimePoint asked_at);
  // The reading, if it is complete and recent enough to decide on.
  std::optional<GroupReading> ToReading(const std::vector<RankAnswer>& answers,
                                        Duration took);
  // Takes the next step of a round, or begins one, by the last reading.
  void AdvanceRound(TimePoint now);
  // Finds the slow ranks of the last reading.
  void NoteSlowRanks();
  // Tells the host of slow ranks if they changed.
  void TellSlowRanks(std::set<std::string> slow);
  // Logs when readings become complete or stop being so; no problem means that
  // this one is.
  void NoteReading(std::string_view problem,
                   std::string_view server,
                   Duration took);
  void SendOrders(const ChangeDecision& decision);
  void OnOrdersAnswered(const std::vector<RankAnswer>& answers,
                        std::int64_t generation,
                        TimePoint asked_at);
  void ReadChoices();
  void OnChoices(const std::vector<RankAnswer>& answers);
  void ReadPresentMap();
  void OnPresentMap(const std::vector<RankAnswer>& answers);
  std::optional<GroupMap> PlanWanted();
  std::vector<RankCall> CallAll(RankRequestKind kind) const;
  GroupMapVersion FreeVersion() const;

  EventLoop& loop;
  HttpClient& client;
  const EngineMapCodec& codec;
  GroupMapCallbacks callbacks;
  CoordinatorTask coordinator;
  RankCalls calls;
  GroupView group;
  ChangeState state;
  GroupReading reading;
  // Of the last reading; empty if it was complete.
  std::string reading_problem;
  std::set<std::string> slow_ranks;
  PassClock passes;
  // How long the last reading of all ranks took.
  Duration exchange{0};
  Demand demand;
  // The map in use, known for this epoch and version.
  GroupMap present;
  std::int64_t present_epoch = -1;
  GroupMapVersion present_version = -1;
  // Versions used in this term.
  std::int64_t versions_used = 0;
  std::int64_t versions_generation = 0;
  // The store or a rank said that a later coordinator has taken over.
  std::int64_t deposed_generation = 0;
  bool probe_open = false;
  TimePoint probed_at;
  std::size_t next_probe;
  bool reports_open = false;
  bool choices_open = false;
  bool present_open = false;
  TimePoint reports_at;
  TimePoint choices_at;
  // Where the next reading of choices begins among the ranks.
  std::size_t next_choice_rank = 0;
  std::optional<TimePoint> order_failed_at;
  std::unique_ptr<Timer> timer;
};

}  // namespace toucanhollow

#endif  // MAP_TASK_GROUP_MAP_TASK_H_
