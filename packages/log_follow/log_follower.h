// Follows one stream of the platform's log by long poll.
#ifndef LOG_FOLLOW_LOG_FOLLOWER_H_
#define LOG_FOLLOW_LOG_FOLLOWER_H_

#include <functional>
#include <memory>
#include <string>

#include "base/log_entry.h"
#include "platform_log/platform_log.h"
#include "session/process_context.h"

namespace toucanhollow {

// A silent log is noticed after the poll's wait and the client's read timeout.
constexpr Duration kLogPollWait = Seconds(10);
constexpr Duration kFirstLogRetry = Milliseconds(100);
constexpr Duration kLastLogRetry = Seconds(2);

struct LogFollowerEvents {
  // Each entry once, in order of offset. Entries that the log has dropped are
  // left out; the next entry's offset shows the gap.
  std::function<void(const LogEntry& entry)> entry;
  // After the entries of each answer.
  std::function<void(const LogStatus& status)> status;
  // When reading begins to work, or stops to.
  std::function<void(bool reachable)> reachable;
};

class LogFollower {
 public:
  LogFollower(ProcessContext& context,
              PlatformLog& log,
              std::string stream,
              LogOffset from,
              LogFollowerEvents events);
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
