// The log lines of a relayed request, from its sending to its end.
#ifndef RELAY_REQUEST_LOG_H_
#define RELAY_REQUEST_LOG_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/time.h"
#include "relay/server_attempt.h"

namespace toucanhollow {

struct SentLine {
  std::string_view request;
  std::string_view route;
  std::string_view server;
  int attempt = 0;
  Duration waited{0};
  Duration left{0};
  // Requests that this host knows of at the server.
  int outstanding = 0;
  bool kept_connection = false;
  std::int64_t config_version = 0;
};

struct AttemptFailedLine {
  std::string_view request;
  std::string_view server;
  int attempt = 0;
  AttemptEnd end = AttemptEnd::kBroken;
  int status = 0;
  bool not_run = false;
  std::string_view detail;
};

struct EndedLine {
  std::string_view request;
  std::string_view route;    // empty if none was found
  std::string_view account;  // empty if there is none
  std::string_view outcome;  // answered, refused or failed
  int status = 0;
  std::string_view why;
  bool returning = false;
  int attempts = 0;
  bool maybe_ran = false;
  // Nothing if no byte of an answer was passed on.
  std::optional<Duration> first_byte;
  Duration took{0};
};

void LogSent(const SentLine& line);
void LogAttemptFailed(const AttemptFailedLine& line);
void LogEnded(const EndedLine& line);

}  // namespace toucanhollow

#endif  // RELAY_REQUEST_LOG_H_
