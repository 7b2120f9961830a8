// The agent's part in expert map changes. For each rank that its engine holds,
// it follows the log stream `maps`, sends orders to the engine and appends
// confirmations.
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

// Size of one expert's weights, used to compute how many bytes an engine is
// ordered to stage.
constexpr std::int64_t kBytesPerExpert = std::int64_t{16} << 20;

class MapTask {
 public:
  // `mismatch_handler` is called when a mismatch begins or ends. During a
  // mismatch the engine runs a map or has a hold that the log does not explain,
  // and the endpoint must take no new work.
  MapTask(ProcessContext& context,
          PlatformLog& log,
          EngineClient& engine,
          std::function<void(bool mismatch)> mismatch_handler);
  ~MapTask();

  // Processes the engine's report and immediately sends the orders that follow
  // from it.
  void OnStatus(const EngineStatus& status);

  // Sets the shape of the group from its record in force. No change is proposed
  // before the first call.
  void SetShape(ModelGroupShape shape);

 private:
  void Propose(const EngineStatus& status);
  void AdvanceParticipants();
  void Perform(const Participant& participant, const ParticipantAction& action);
  void SendMapOrder(const Participant& participant, const MapOrder& order);
  void Append(const MapEntry& entry);
  void RefreshMap();

  ProcessContext& context;
  PlatformLog& log;
  EngineClient& engine;
  std::function<void(bool)> on_mismatch_change;
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
  ChangeOffset last_seen_version = 0;
  ChangeOffset last_seen_open_change = 0;
  ChangeOffset last_seen_running_version = 0;
  std::unique_ptr<LogFollower> follower;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace toucanhollow

#endif  // AGENT_MAP_TASK_H_
