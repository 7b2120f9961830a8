// This process's fold of the configuration: fed by the log, and by peers where
// the log cannot be read.
#ifndef CONFIG_FOLLOW_CONFIG_TASK_H_
#define CONFIG_FOLLOW_CONFIG_TASK_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "config/config_fold.h"
#include "config/config_view.h"
#include "config/snapshot_request.h"
#include "log_follow/log_follower.h"
#include "platform_log/platform_log.h"
#include "session/process_context.h"
#include "wire/message.h"

namespace toucanhollow {

class ConfigTask {
 public:
  // `changed` is called after each change of what is in force, and once when
  // the first source has answered.
  ConfigTask(ProcessContext& context,
             PlatformLog& log,
             std::function<void(const ConfigView& view)> on_change);
  ~ConfigTask();

  const ConfigView& View() const;
  // For heartbeats.
  LogOffset Offset() const;

  // Handles a peer's heartbeat, snapshot request or snapshot; others are
  // ignored. A peer that is ahead is asked for its snapshot at once while this
  // process has no source, and otherwise once the log had time to bring the
  // record.
  void OnPeerMessage(const Message& message,
                     const std::function<void(const Message& reply)>& reply);

  // Appends live subjects again when they are due. `hosts` gives the entry
  // hosts that are alive, this one among them.
  void StartRefresh(std::function<std::vector<ProcessName>()> hosts);

 private:
  void ApplyStep(ConfigStep step);
  void UpdateView();
  void Refresh();

  ProcessContext& context;
  PlatformLog& log;
  std::function<void(const ConfigView&)> on_change;
  ConfigState state;
  ConfigView view;
  LogStatus log_status;
  std::function<std::vector<ProcessName>()> hosts;
  std::unique_ptr<LogFollower> follower;
  std::unique_ptr<Timer> refresh_timer;
  bool refresh_pending = false;
  SnapshotRequestState snapshot_request;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace toucanhollow

#endif  // CONFIG_FOLLOW_CONFIG_TASK_H_
