#include "ctl/log_session.h"

#include <optional>
#include <utility>

#include "log_codec/config_codec.h"
#include "settings/parse_address.h"

namespace toucanhollow {
namespace {

constexpr const char* kConfigStream = "config";
constexpr std::size_t kMaxEntriesPerRead = 512;

PlatformLogOptions MakeLogOptions(const Address& log) {
  PlatformLogOptions options;
  options.address = FormatAddress(log);
  return options;
}

}  // namespace

LogSession::LogSession(const Address& log)
    : client(this->loop), log(this->client, MakeLogOptions(log)) {}

Result<ConfigState> LogSession::ReadConfig(ConfigState state,
                                           std::vector<ConfigReport>& reports) {
  while (true) {
    std::optional<Result<LogBatch>> answer;
    this->log.Read(kConfigStream, state.next_offset, kMaxEntriesPerRead,
                   Duration(0), [&](Result<LogBatch> batch) {
                     answer = std::move(batch);
                     this->loop.Stop();
                   });
    this->loop.Run();
    if (!*answer && answer->error().code == ResultCode::kLogOffsetDropped) {
      std::optional<Result<LogStatus>> status;
      this->log.ReadStatus(kConfigStream, [&](Result<LogStatus> read) {
        status = std::move(read);
        this->loop.Stop();
      });
      this->loop.Run();
      if (!*status) {
        return status->error();
      }
      state.next_offset = status->value().first_offset;
      state.contiguous_from = state.next_offset;
      continue;
    }
    if (!*answer) {
      return answer->error();
    }
    const LogBatch& batch = answer->value();
    for (const LogEntry& entry : batch.entries) {
      ConfigStep step = FoldEntry(std::move(state), DecodeConfig(entry));
      state = std::move(step.state);
      std::ranges::move(step.reports, std::back_inserter(reports));
    }
    const LogOffset end = batch.status.next_offset - 1;
    if (state.next_offset > end) {
      return ObserveConfigLogEnd(std::move(state), end);
    }
  }
}

LogAppendOutcome LogSession::Append(const std::string& payload) {
  LogAppendOutcome outcome;
  this->log.Append(kConfigStream, {payload}, "", [&](LogAppendOutcome end) {
    outcome = std::move(end);
    this->loop.Stop();
  });
  this->loop.Run();
  return outcome;
}

void LogSession::Wait(Duration duration) {
  const Timer timer(this->loop, duration, Duration(0),
                    [this] { this->loop.Stop(); });
  this->loop.Run();
}

}  // namespace toucanhollow
