// Writes the log lines of a relayed request: each sending, each failed attempt,
// and its end.
#ifndef RELAY_REQUEST_LOG_H_
#define RELAY_REQUEST_LOG_H_

#include <cstddef>
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
  Duration queue_time{0};
  Duration time_left{0};
  // Time from the choice of the server until the request was written.
  Duration connect_time{0};
  // Open requests of this host at the server.
  int outstanding = 0;
  bool kept_connection = false;
  std::int64_t config_version = 0;
  // Parts of the prompt that the request tests in isolation.
  std::size_t tested_parts = 0;
};

struct AttemptFailedLine {
  std::string_view request;
  std::string_view server;
  int attempt = 0;
  AttemptEnd end = AttemptEnd::kBroken;
  int status = 0;
  bool not_run = false;
  // The answer had begun: a complete event or response had arrived.
  bool began = false;
  std::string_view detail;
  // Ids of the parts of the prompt that other requests may share, by commas.
  std::string_view shared_prompt_parts;
};

struct CancelledLine {
  std::string_view request;
  std::string_view server;  // empty if the request was at none
  bool began = false;       // as in AttemptFailedLine
  std::string_view reason;
  std::string_view shared_prompt_parts;
  Duration duration{0};
};

struct EndedLine {
  std::string_view request;
  std::string_view route;    // empty if none was found
  std::string_view account;  // empty if there is none
  std::string_view outcome;  // answered, refused or failed
  int status = 0;
  std::string_view why;
  bool is_caller_retry = false;
  int attempts = 0;
  bool maybe_ran = false;
  // Time from the arrival to the first byte of the response; empty if no byte
  // was forwarded.
  std::optional<Duration> first_byte;
  Duration duration{0};
};

void LogSent(const SentLine& line);
void LogAttemptFailed(const AttemptFailedLine& line);
void LogCancelled(const CancelledLine& line);
void LogEnded(const EndedLine& line);

}  // namespace toucanhollow

#endif  // RELAY_REQUEST_LOG_H_
