// Voids keyed dispatches that got no answer, and reads in the log what became
// of them.
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
  // `settled` is called for kNotRun and kAnswered, and for kUnknown once the
  // result had time to come. It may call Forget.
  VoidTask(ProcessContext& context,
           PlatformLog& log,
           std::function<void(const VoidWatch& watch)> settled);
  ~VoidTask();

  // Keeps the end of stream `claims` known, from which voids are read.
  void StartFollowingEnd();
  // An offset no later than the present end of the stream, plus 1; none while
  // the log has not told it.
  std::optional<LogOffset> ClaimsEnd() const;

  void Void(const ScopedKey& key, const DispatchId& dispatch, LogOffset from);
  // The request has ended in another way.
  void Forget(const DispatchId& dispatch);

 private:
  struct Watched {
    VoidWatch watch;
    std::optional<TimePoint> unknown_since;
  };
  void ReadEnd();
  void AppendNext();
  void OnAppended(const std::vector<DispatchId>& batch,
                  const LogAppendOutcome& outcome);
  void RestartFollower();
  void OnEntry(const LogEntry& entry);
  void Settle();

  ProcessContext& context;
  PlatformLog& log;
  std::function<void(const VoidWatch&)> settled;
  std::optional<LogOffset> claims_end;
  std::map<DispatchId, Watched> watched;
  std::vector<DispatchId> unappended;
  bool appending = false;
  std::unique_ptr<Timer> end_timer;
  std::unique_ptr<Timer> retry_timer;
  std::unique_ptr<Timer> settle_timer;
  std::unique_ptr<LogFollower> follower;
  LogOffset follower_next = 0;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace toucanhollow

#endif  // ENTRY_VOID_TASK_H_
