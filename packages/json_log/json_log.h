// Structured log: JSON lines on standard output. One object for each decision
// on a request, each change of the process's view of the system, each start
// and stop, and each loss or recovery of a dependency.
#ifndef JSON_LOG_JSON_LOG_H_
#define JSON_LOG_JSON_LOG_H_

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "base/time.h"

namespace toucanhollow {

struct LogField {
  std::string_view name;
  std::variant<std::int64_t, double, bool, std::string_view> value;
};

// Token bucket that limits the lines that a process writes.
struct LogRateLimit {
  double lines_per_s = 200;
  double burst_lines = 400;

  bool operator==(const LogRateLimit&) const = default;
};

// Starts writing lines {"time":..,"process":..,"event":..,fields}. Logging
// never blocks: lines beyond the rate limit, and lines that standard output
// cannot accept without blocking, are dropped and counted in a later line
// "log_dropped". A signal that a fault of the program raises writes the last
// line, "fatal_signal".
void StartJsonLog(std::string_view process, const LogRateLimit& rate_limit);

// Like StartJsonLog, but passes every line to `sink`; for tests.
void StartJsonLogTo(std::function<void(std::string_view line)> sink,
                    std::string_view process,
                    const LogRateLimit& rate_limit);

// Writes one line with the time `now`. `monotonic_now` is the time for the rate
// limit.
void LogJson(std::string_view event,
             std::initializer_list<LogField> fields,
             WallTime now,
             TimePoint monotonic_now);

// Calls LogJson with the present times.
void LogJsonNow(std::string_view event, std::initializer_list<LogField> fields);

}  // namespace toucanhollow

#endif  // JSON_LOG_JSON_LOG_H_
