// Text logs: one short sentence a line, with the fixed prefix of its part.
#ifndef LOG_TEXT_LOG_H_
#define LOG_TEXT_LOG_H_

#include <functional>
#include <string_view>

namespace toucanhollow {

enum class Severity { kDebug, kInfo, kWarning, kError };

// Starts logging to standard error at the level and above. Lines read
// "2026-12-04T05:00:00.123456 INFO entry-1 [link] connected to draft-1".
void StartLog(std::string_view process, Severity level);

// Sends every line, without time and process, to `sink` instead; for tests.
void StartLogTo(std::function<void(std::string_view line)> sink,
                Severity level);

// Writes one sentence. `part` is the fixed prefix, such as "link". Control
// characters in the sentence are replaced, because it may quote input.
void Log(Severity severity, std::string_view part, std::string_view sentence);

}  // namespace toucanhollow

#endif  // LOG_TEXT_LOG_H_
