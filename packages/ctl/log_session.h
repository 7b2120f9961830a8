// Blocking reads and appends on the platform's log, for command line tools.
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

  // Applies to `state` the entries of stream `config` from its next offset to
  // the end of the log, and adds the reports of the fold to `reports`. If the
  // log has dropped the next offset, it continues at the first retained one.
  // Codes: kLogUnreachable.
  Result<ConfigState> ReadConfig(ConfigState state,
                                 std::vector<ConfigReport>& reports);

  // Appends one payload to stream `config`.
  LogAppendOutcome Append(const std::string& payload);

  // Blocks for `duration`.
  void Wait(Duration duration);

 private:
  EventLoop loop;
  HttpClient client;
  PlatformLog log;
};

}  // namespace toucanhollow

#endif  // CTL_LOG_SESSION_H_
