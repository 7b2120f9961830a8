// JSON lines on standard output: one object for each decision on a request,
// each change of what the process believes, and each start, stop and
// dependency lost or back.
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

// How many lines a process may write.
struct LogBound {
  double lines_per_s = 200;
  double burst_lines = 400;

  bool operator==(const LogBound&) const = default;
};

// Starts writing lines {"time":..,"process":..,"event":..,fields}. Lines are
// dropped, and counted in a later line "log_dropped", beyond the bound and
// while the reader of standard output takes none: logging never blocks.
void StartJsonLog(std::string_view process, const LogBound& bound);

// Sends every line to `sink` instead; for tests.
void StartJsonLogTo(std::function<void(std::string_view line)> sink,
                    std::string_view process,
                    const LogBound& bound);

// Writes one line at the wall time `now`. `steady` measures the bound.
void LogJson(std::string_view event,
             std::initializer_list<LogField> fields,
             WallTime now,
             TimePoint steady);

// LogJson at the present time.
void LogJsonNow(std::string_view event, std::initializer_list<LogField> fields);

}  // namespace toucanhollow

#endif  // JSON_LOG_JSON_LOG_H_
