// Client of the append-only platform log.
#ifndef PLATFORM_LOG_PLATFORM_LOG_H_
#define PLATFORM_LOG_PLATFORM_LOG_H_

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "base/result.h"
#include "http_client/http_client.h"
#include "platform_log/log_status.h"

namespace toucanhollow {

struct PlatformLogOptions {
  // <IP address>:<port>
  std::string address;
  Duration append_timeout = Seconds(5);
  // Added to the wait of a long poll.
  Duration read_timeout = Seconds(5);
};

enum class AppendEnd {
  kAppended,       // appended at the reported offsets
  kNotAppended,    // not appended, and will not take effect later
  kMaybeAppended,  // the response was lost; only a read of the log can tell
};

struct LogAppendOutcome {
  AppendEnd end = AppendEnd::kMaybeAppended;
  // Offset of the first payload; the others follow without gaps. Valid only for
  // kAppended.
  LogOffset first_offset = 0;
  // kAnswered if appended, kLogUnreachable if not appended, otherwise
  // kLogAppendUnconfirmed.
  ResultCode code = ResultCode::kLogAppendUnconfirmed;
  std::string detail;
};

class PlatformLog {
 public:
  PlatformLog(HttpClient& client, PlatformLogOptions options);

  // Appends all payloads atomically and at consecutive offsets. `append_id` may
  // be empty; a log that supports it appends a batch with the same id only
  // once.
  HttpCallId Append(const std::string& stream,
                    const std::vector<std::string>& payloads,
                    const std::string& append_id,
                    std::function<void(LogAppendOutcome)> done);

  // Reads at most `max_entries` entries, starting at offset `from`. If there
  // are none, the log responds when one is appended or after `wait`. Fails with
  // kLogUnreachable, or with kLogOffsetDropped if the entry at `from` is older
  // than the retention; ReadStatus then returns the first offset.
  HttpCallId Read(const std::string& stream,
                  LogOffset from,
                  std::size_t max_entries,
                  Duration wait,
                  std::function<void(Result<LogBatch>)> done);

  // Reads the status of the stream. Fails with kLogUnreachable.
  HttpCallId ReadStatus(const std::string& stream,
                        std::function<void(Result<LogStatus>)> done);

  // Cancels the call; its callback is not called afterwards. A cancelled append
  // may still take effect.
  void Cancel(HttpCallId id);

 private:
  HttpClient& client;
  PlatformLogOptions options;
};

}  // namespace toucanhollow

#endif  // PLATFORM_LOG_PLATFORM_LOG_H_
