// Runs one process from its first signal to its exit status.
#ifndef APPS_RUN_PROCESS_H_
#define APPS_RUN_PROCESS_H_

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "event_loop/event_loop.h"
#include "json_log/json_log.h"

namespace toucanhollow {

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

// What differs between the roles.
struct ProcessSteps {
  // Parses the settings and keeps them; returns every mistake.
  std::function<std::vector<Failure>(const std::string& text)> parse;
  // Creates the daemon and opens its ports. After a failure it is called again.
  std::function<Result<bool>()> start;
  // Finishes the work of a started daemon, then calls `done`.
  std::function<void(std::function<void()> done)> shutdown;
  std::function<void(std::string_view event,
                     std::initializer_list<LogField> fields)>
      log;
};

// Reads the settings, starts the daemon and runs the loop until the process is
// stopped by SIGTERM or SIGINT. A process that has not started yet stops at
// once. A settings file that is missing or empty is waited for, and one that is
// incomplete or has mistakes is read again, as it may be being written, for a
// bounded time; "settings_incomplete" is logged. A start that fails is repeated
// until it succeeds, because an earlier process may still hold a port. Returns
// the exit status: kExitSuccess after a stop, kExitUsage for settings that stay
// wrong. Both are logged as "exiting". The process signals have to be blocked,
// and are blocked again when the function returns.
int RunProcess(EventLoop& loop,
               const std::string& settings_file,
               ProcessSteps steps);

}  // namespace toucanhollow

#endif  // APPS_RUN_PROCESS_H_
