// Voids keyed dispatches that got no answer, and reads their outcome from the
// claims log.
#ifndef ENTRY_VOID_TASK_H_
#define ENTRY_VOID_TASK_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "idempotency/void_watch.h"
#include "log_follow/log_follower.h"
#include "platform_log/platform_log.h"
#include "session/process_context.h"

namespace toucanhollow {

class VoidTask {
 public:
  // `settled` is called for kNotRun and kAnswered, and for kUnknown if no
  // result follows within a few seconds. It may call StopWatching.
  VoidTask(ProcessContext& context,
           PlatformLog& log,
           std::function<void(const VoidWatch& watch)> settled);
  ~VoidTask();

  // Reads the end of stream `claims` periodically, for ClaimsEnd.
  void StartPollingClaimsEnd();
  // Returns an offset no later than the current end of the stream plus 1, or
  // nothing if the log has not been read yet.
  std::optional<LogOffset> ClaimsEnd() const;

  // Appends a void of the dispatch and watches the log for its outcome. `from`
  // is a value of ClaimsEnd from before the dispatch was sent.
  void Void(const ScopedKey& key, const DispatchId& dispatch, LogOffset from);
  // Drops the watch of a dispatch whose request ended in another way.
  void StopWatching(const DispatchId& dispatch);

 private:
  struct WatchedDispatch {
    VoidWatch watch;
    std::optional<TimePoint> unknown_since;
  };
  void ReadClaimsEnd();
  void AppendNext();
  void OnAppended(const std::vector<DispatchId>& batch,
                  const LogAppendOutcome& outcome);
  void RestartFollower();
  void OnEntry(const LogEntry& entry);
  void ReportSettled();

  ProcessContext& context;
  PlatformLog& log;
  std::function<void(const VoidWatch&)> settled;
  std::optional<LogOffset> claims_end;
  std::map<DispatchId, WatchedDispatch> watched;
  std::vector<DispatchId> pending_appends;
  bool appending = false;
  std::unique_ptr<Timer> claims_end_timer;
  std::unique_ptr<Timer> retry_timer;
  std::unique_ptr<Timer> settle_timer;
  std::unique_ptr<LogFollower> follower;
  LogOffset follower_next = 0;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace toucanhollow

#endif  // ENTRY_VOID_TASK_H_
