// The agent's part in expert map changes: follows stream `maps`, orders its
// engine and confirms, for each rank that the engine holds.
#ifndef AGENT_MAP_TASK_H_
#define AGENT_MAP_TASK_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "engine_api/engine_client.h"
#include "expert_map/advance_proposer.h"
#include "expert_map/map_fold.h"
#include "expert_map/participant.h"
#include "expert_map/propose_change.h"
#include "log_follow/log_follower.h"
#include "platform_log/platform_log.h"
#include "session/process_context.h"

namespace toucanhollow {

// Weights of one expert, for the size of what an engine is told to stage.
constexpr std::int64_t kExpertBytes = std::int64_t{16} << 20;

class MapTask {
 public:
  // `mismatch` is called when it changes whether the engine runs or holds what
  // the log does not explain; the endpoint must then take no new work.
  MapTask(ProcessContext& context,
          PlatformLog& log,
          EngineClient& engine,
          std::function<void(bool mismatch)> mismatch);
  ~MapTask();

  // Takes in the engine's report. The orders that follow go out at once.
  void OnStatus(const EngineStatus& status);

  // The group as its record in force describes it; nothing is proposed before.
  void SetShape(ModelGroupShape shape);

 private:
  void Propose(const EngineStatus& status);
  void Step();
  void Perform(const Participant& participant, const ParticipantAction& action);
  void Order(const Participant& participant, const MapOrder& order);
  void Append(const MapEntry& entry);
  void RefreshMap();

  ProcessContext& context;
  PlatformLog& log;
  EngineClient& engine;
  std::function<void(bool)> mismatch_changed;
  ServiceName group;
  MapFold fold;
  std::vector<Participant> participants;
  std::optional<MapEngineStatus> status;
  MapLogStatus log_status;
  Proposer proposer;
  std::optional<ModelGroupShape> shape;
  TimePoint next_proposal_check;
  bool mismatch = false;
  bool appending = false;
  ChangeOffset known_version = 0;
  ChangeOffset known_open = 0;
  ChangeOffset known_running = 0;
  std::unique_ptr<LogFollower> follower;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace toucanhollow

#endif  // AGENT_MAP_TASK_H_
