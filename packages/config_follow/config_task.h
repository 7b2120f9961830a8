// Maintains this process's configuration from the log, and from snapshots of
// peers where the log cannot be read.
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
  // `on_change` is called after each change of the configuration in force, and
  // when the first source (the log or a peer) has supplied it.
  ConfigTask(ProcessContext& context,
             PlatformLog& log,
             std::function<void(const ConfigView& view)> on_change);
  ~ConfigTask();

  const ConfigView& View() const;
  // The highest offset that the configuration reflects, for heartbeats.
  LogOffset Offset() const;

  // Handles a peer's heartbeat, snapshot request or snapshot; other messages
  // are ignored. If a heartbeat shows that the peer is ahead, its snapshot is
  // requested at once while this process has no configuration, and otherwise
  // only after a delay in which the record usually arrives through the log.
  void OnPeerMessage(const Message& message,
                     const std::function<void(const Message& reply)>& reply);

  // Starts to append subjects again when they are due. `hosts` returns the
  // entry hosts that are alive, including this one.
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
