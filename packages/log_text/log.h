// Text log with one sentence per line, prefixed with the name of the component.
#ifndef LOG_TEXT_LOG_H_
#define LOG_TEXT_LOG_H_

#include <functional>
#include <string_view>

namespace toucanhollow {

enum class Severity { kDebug, kInfo, kWarning, kError };

// Starts logging to standard error at the given level and above. Example line:
// "2026-12-04T05:00:00.123456 INFO entry-1 [link] connected to draft-1".
// Logging never blocks: lines that standard error cannot accept without
// blocking are dropped and counted in a later line.
void StartLog(std::string_view process, Severity level);

// Starts logging to `sink` instead, without time and process name; for tests.
void StartLogTo(std::function<void(std::string_view line)> sink,
                Severity level);

// Writes one log line. `component` is a fixed name such as "link". Control
// characters in the message are replaced with "?", because it may quote input
// that would otherwise forge log lines.
void Log(Severity severity,
         std::string_view component,
         std::string_view message);

}  // namespace toucanhollow

#endif  // LOG_TEXT_LOG_H_
