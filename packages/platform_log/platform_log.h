// Client of the platform's append-only log.
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
  // Added to the long poll's wait.
  Duration read_timeout = Seconds(5);
};

enum class AppendEnd {
  kAppended,       // at the reported offsets
  kNotAppended,    // certainly not, and the append will not take effect later
  kMaybeAppended,  // the answer was lost; only reading the log tells
};

struct LogAppendOutcome {
  AppendEnd end = AppendEnd::kMaybeAppended;
  // Offset of the batch's first payload; the others follow it without gap.
  LogOffset first_offset = 0;
  // kLogUnreachable or kLogAppendUnconfirmed unless appended.
  ResultCode code = ResultCode::kLogAppendUnconfirmed;
  std::string detail;
};

class PlatformLog {
 public:
  PlatformLog(HttpClient& client, PlatformLogOptions options);

  // Appends a batch as one append: all payloads or none, without others
  // between them. `append_id` may be empty; a log that supports it appends a
  // batch with the same id once.
  HttpCallId Append(const std::string& stream,
                    const std::vector<std::string>& payloads,
                    const std::string& append_id,
                    std::function<void(LogAppendOutcome)> done);

  // Entries from offset `from` on, at most `max_entries`. If there are none,
  // the log answers when one is appended or after `wait`. Fails with
  // kLogUnreachable, or with kLogOffsetDropped if retention has dropped
  // `from`; ReadStatus then gives the first offset.
  HttpCallId Read(const std::string& stream,
                  LogOffset from,
                  std::size_t max_entries,
                  Duration wait,
                  std::function<void(Result<LogBatch>)> done);

  // Fails with kLogUnreachable.
  HttpCallId ReadStatus(const std::string& stream,
                        std::function<void(Result<LogStatus>)> done);

  // No callback comes after it; a cancelled append may take effect.
  void Cancel(HttpCallId id);

 private:
  HttpClient& client;
  PlatformLogOptions options;
};

}  // namespace toucanhollow

#endif  // PLATFORM_LOG_PLATFORM_LOG_H_
