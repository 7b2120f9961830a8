// Follows one stream of the platform log by long polling.
#ifndef LOG_FOLLOW_LOG_FOLLOWER_H_
#define LOG_FOLLOW_LOG_FOLLOWER_H_

#include <functional>
#include <memory>
#include <string>

#include "base/log_entry.h"
#include "platform_log/platform_log.h"
#include "session/process_context.h"

namespace toucanhollow {

// An unresponsive log is detected after this wait plus the read timeout of the
// log client.
constexpr Duration kLogPollWait = Seconds(10);
constexpr Duration kInitialLogRetryDelay = Milliseconds(100);
constexpr Duration kMaxLogRetryDelay = Seconds(2);

struct LogFollowerCallbacks {
  // Called once for each entry, in order of offset. Entries that the log has
  // dropped are skipped; the offset of the next entry shows the gap.
  std::function<void(const LogEntry& entry)> on_entry;
  // Called after the entries of each response. May be null.
  std::function<void(const LogStatus& status)> on_status;
  // Called when the log becomes reachable or unreachable. May be null.
  std::function<void(bool reachable)> on_reachable_change;
};

class LogFollower {
 public:
  LogFollower(ProcessContext& context,
              PlatformLog& log,
              std::string stream,
              LogOffset from,
              LogFollowerCallbacks callbacks);
  ~LogFollower();
  LogFollower(const LogFollower&) = delete;
  LogFollower& operator=(const LogFollower&) = delete;

  bool IsReachable() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace toucanhollow

#endif  // LOG_FOLLOW_LOG_FOLLOWER_H_
