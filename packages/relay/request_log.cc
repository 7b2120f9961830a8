#include "relay/request_log.h"

#include "json_log/json_log.h"

namespace toucanhollow {
namespace {

std::string_view AttemptEndName(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kComplete:
      return "complete";
    case AttemptEnd::kNotSent:
      return "not_sent";
    case AttemptEnd::kWithheld:
      return "withheld";
    case AttemptEnd::kBroken:
      return "broken";
    case AttemptEnd::kTruncated:
      return "truncated";
  }
  return "";
}

// A line names the last parts only, as the first ones are in many prompts.
std::string_view ShortenParts(std::string_view parts) {
  constexpr std::size_t kMaxLoggedBytes = 1024;
  if (parts.size() <= kMaxLoggedBytes) {
    return parts;
  }
  parts.remove_prefix(parts.size() - kMaxLoggedBytes);
  return parts.substr(parts.find(',') + 1);
}

}  // namespace

void LogSent(const SentLine& line) {
  LogJsonNow("request_sent",
             {{"request", line.request},
              {"route", line.route},
              {"server", line.server},
              {"attempt", static_cast<std::int64_t>(line.attempt)},
              {"waited_ms", ToMilliseconds(line.queue_time)},
              {"left_ms", ToMilliseconds(line.time_left)},
              {"connect_ms", ToMilliseconds(line.connect_time)},
              {"outstanding", static_cast<std::int64_t>(line.outstanding)},
              {"kept_connection", line.kept_connection},
              {"config_version", line.config_version},
              {"tested_parts", static_cast<std::int64_t>(line.tested_parts)}});
}

void LogAttemptFailed(const AttemptFailedLine& line) {
  LogJsonNow("attempt_failed",
             {{"request", line.request},
              {"server", line.server},
              {"attempt", static_cast<std::int64_t>(line.attempt)},
              {"end", AttemptEndName(line.end)},
              {"status", static_cast<std::int64_t>(line.status)},
              {"not_run", line.not_run},
              {"began", line.began},
              {"detail", line.detail},
              {"shared_parts", ShortenParts(line.shared_prompt_parts)}});
}

void LogCancelled(const CancelledLine& line) {
  LogJsonNow("request_cancelled",
             {{"request", line.request},
              {"server", line.server},
              {"began", line.began},
              {"reason", line.reason},
              {"shared_parts", ShortenParts(line.shared_prompt_parts)},
              {"ms", ToMilliseconds(line.duration)}});
}

void LogEnded(const EndedLine& line) {
  constexpr double kNoFirstByte = -1;
  LogJsonNow(
      "request_ended",
      {{"request", line.request},
       {"route", line.route},
       {"account", line.account},
       {"outcome", line.outcome},
       {"status", static_cast<std::int64_t>(line.status)},
       {"why", line.why},
       {"returning", line.is_caller_retry},
       {"attempts", static_cast<std::int64_t>(line.attempts)},
       {"maybe_ran", line.maybe_ran},
       {"first_byte_ms",
        line.first_byte ? ToMilliseconds(*line.first_byte) : kNoFirstByte},
       {"ms", ToMilliseconds(line.duration)}});
}

}  // namespace toucanhollow
