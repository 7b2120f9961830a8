// The last log line of a process that a fault of the program ends.
#ifndef JSON_LOG_FATAL_SIGNAL_H_
#define JSON_LOG_FATAL_SIGNAL_H_

#include <string>

namespace toucanhollow {

// Handles SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT and SIGQUIT, each unless
// something else handles it: writes {"time":..<fields>,"signal":..,
// "address":..,"program_offset":..} to standard output, unless that would
// block, and lets the signal end the process. `fields` are those between the
// time and the signal. The program offset is for addr2line.
void LogFatalSignals(std::string fields);

}  // namespace toucanhollow

#endif  // JSON_LOG_FATAL_SIGNAL_H_
