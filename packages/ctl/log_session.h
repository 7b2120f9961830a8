// Reads and writes the platform's log and waits for the answer, for command
// line tools.
#ifndef CTL_LOG_SESSION_H_
#define CTL_LOG_SESSION_H_

#include <string>
#include <vector>

#include "base/address.h"
#include "base/result.h"
#include "base/time.h"
#include "config/config_fold.h"
#include "event_loop/event_loop.h"
#include "http_client/http_client.h"
#include "platform_log/platform_log.h"

namespace toucanhollow {

class LogSession {
 public:
  explicit LogSession(const Address& log);

  // Folds all that the log holds of stream `config` after `state`; adds the
  // reports of the fold to `reports`. Codes: kLogUnreachable.
  Result<ConfigState> ReadConfig(ConfigState state,
                                 std::vector<ConfigReport>& reports);

  // Appends one payload to stream `config`.
  LogAppendOutcome Append(const std::string& payload);

  // Waits without doing anything.
  void Wait(Duration duration);

 private:
  EventLoop loop;
  HttpClient client;
  PlatformLog log;
};

}  // namespace toucanhollow

#endif  // CTL_LOG_SESSION_H_
