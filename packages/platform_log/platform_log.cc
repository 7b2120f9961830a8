#include "platform_log/platform_log.h"

#include <utility>

#include "platform_log/log_codec.h"

namespace toucanhollow {
namespace {

// The log limits the response to a read to less than this, so a larger response
// is an error.
constexpr std::size_t kMaxReadBytes = std::size_t{8} * 1024 * 1024;

LogAppendOutcome ToAppendOutcome(const HttpOutcome& outcome) {
  LogAppendOutcome result;
  if (outcome.end == HttpEnd::kComplete && outcome.status == 200) {
    const auto batch = DecodeBatch(outcome.body);
    if (batch.has_value()) {
      result.end = AppendEnd::kAppended;
      result.first_offset = batch->status.first_offset;
      result.code = ResultCode::kAnswered;
      return result;
    }
  }
  const bool refused = outcome.end == HttpEnd::kComplete &&
                       outcome.status >= 400 &&
                       outcome.body.starts_with(kNotAppended);
  result.detail = outcome.end == HttpEnd::kComplete
                      ? "status " + std::to_string(outcome.status)
                      : outcome.error;
  if (refused || !outcome.maybe_sent) {
    result.end = AppendEnd::kNotAppended;
    result.code = ResultCode::kLogUnreachable;
  }
  return result;
}

Result<LogBatch> ToBatch(const HttpOutcome& outcome) {
  if (outcome.end != HttpEnd::kComplete) {
    return MakeFailure(ResultCode::kLogUnreachable, outcome.error);
  }
  auto batch = DecodeBatch(outcome.body);
  if (outcome.status == 410 && batch.has_value()) {
    return MakeFailure(
        ResultCode::kLogOffsetDropped,
        "the first offset is " + std::to_string(batch->status.first_offset));
  }
  if (outcome.status != 200 || !batch.has_value()) {
    return MakeFailure(ResultCode::kLogUnreachable,
                       "status " + std::to_string(outcome.status) +
                           (batch ? "" : ", and the body cannot be decoded"));
  }
  return *std::move(batch);
}

HttpCall MakeCall(const PlatformLogOptions& options,
                  const std::string& stream,
                  const std::string& path_suffix) {
  HttpCall call;
  call.url = "http://" + options.address + "/streams/" + PercentEncode(stream) +
             path_suffix;
  call.total_timeout = options.read_timeout;
  call.max_response_bytes = kMaxReadBytes;
  call.repeatable = true;
  return call;
}

}  // namespace

PlatformLog::PlatformLog(HttpClient& client, PlatformLogOptions options)
    : client(client), options(std::move(options)) {}

HttpCallId PlatformLog::Append(const std::string& stream,
                               const std::vector<std::string>& payloads,
                               const std::string& append_id,
                               std::function<void(LogAppendOutcome)> done) {
  HttpCall call = MakeCall(
      this->options, stream,
      append_id.empty() ? "/entries"
                        : "/entries?append_id=" + PercentEncode(append_id));
  call.method = "POST";
  call.body = EncodePayloads(payloads);
  call.total_timeout = this->options.append_timeout;
  call.repeatable = false;
  HttpCallbacks callbacks;
  callbacks.on_done = [done = std::move(done)](const HttpOutcome& outcome) {
    done(ToAppendOutcome(outcome));
  };
  return this->client.Start(std::move(call), std::move(callbacks));
}

HttpCallId PlatformLog::Read(const std::string& stream,
                             LogOffset from,
                             std::size_t max_entries,
                             Duration wait,
                             std::function<void(Result<LogBatch>)> done) {
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  HttpCall call = MakeCall(this->options, stream,
                           "/entries?from=" + std::to_string(from) +
                               "&limit=" + std::to_string(max_entries) +
                               "&wait_ms=" + std::to_string(wait_ms));
  call.total_timeout = wait + this->options.read_timeout;
  HttpCallbacks callbacks;
  callbacks.on_done = [done = std::move(done),
                       from](const HttpOutcome& outcome) {
    auto batch = ToBatch(outcome);
    if (batch.has_value() && !batch.value().entries.empty() &&
        batch.value().entries.front().offset != from) {
      batch = MakeFailure(ResultCode::kLogUnreachable,
                          "the log returned other offsets than requested");
    }
    done(std::move(batch));
  };
  return this->client.Start(std::move(call), std::move(callbacks));
}

HttpCallId PlatformLog::ReadStatus(
    const std::string& stream,
    std::function<void(Result<LogStatus>)> done) {
  HttpCallbacks callbacks;
  callbacks.on_done = [done = std::move(done)](const HttpOutcome& outcome) {
    const Result<LogBatch> batch = ToBatch(outcome);
    if (batch.has_value()) {
      done(batch.value().status);
    } else {
      done(batch.error());
    }
  };
  return this->client.Start(MakeCall(this->options, stream, "/status"),
                            std::move(callbacks));
}

void PlatformLog::Cancel(HttpCallId id) {
  this->client.Cancel(id);
}

}  // namespace toucanhollow
