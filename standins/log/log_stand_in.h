// Stand-in for the platform's log: streams in memory, served in the format of
// platform_log/log_codec.h, with limits and faults.
//
// Control paths:
//   POST /control/outage?ms=&mode=refuse|silent   "silent" never answers
//   POST /control/slow?delay_ms=&ms=              delays answers
//   POST /control/lose_acks?count=                appends that take effect but
//                                                 whose connection is closed
//   POST /control/drop?stream=&before=            drops entries as retention
//   GET  /control/stats                           text, "<name> <value>" lines
#ifndef STANDINS_LOG_LOG_STAND_IN_H_
#define STANDINS_LOG_LOG_STAND_IN_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "http_server/http_server.h"
#include "platform_log/log_status.h"

namespace toucanhollow {

struct LogStandInOptions {
  // Appends (batches) beyond this rate are refused; one second's worth may
  // come at once.
  double appends_per_s = 500;
  Duration retention = Seconds(25 * 3600);
  std::size_t retained_entries = 1'000'000;
  // True appends a batch whose append id was used before only once.
  bool dedupe_appends = false;
};

class LogStandIn {
 public:
  LogStandIn(EventLoop& loop, LogStandInOptions options);

  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpResponseWriter>& writer);

 private:
  struct Stream {
    LogOffset first_offset = 1;
    std::deque<LogEntry> entries;
    std::map<std::string, LogOffset> append_ids;
    std::uint64_t appends = 0;
    std::uint64_t appended_entries = 0;
    std::uint64_t appended_bytes = 0;
    std::uint64_t reads = 0;
  };
  struct WaitingRead {
    std::string stream;
    LogOffset from;
    std::size_t limit;
    TimePoint deadline;
    std::shared_ptr<HttpResponseWriter> writer;
  };

  void HandleControl(const HttpRequest& request, HttpResponseWriter& writer);
  void HandleStream(const HttpRequest& request,
                    const std::shared_ptr<HttpResponseWriter>& writer);
  void Append(const std::string& name,
              const HttpRequest& request,
              const std::shared_ptr<HttpResponseWriter>& writer);
  void Read(const std::string& name,
            const HttpRequest& request,
            const std::shared_ptr<HttpResponseWriter>& writer);
  bool TryAnswerRead(const WaitingRead& read, bool answer_empty);
  void AnswerWaiting();
  void Answer(const std::shared_ptr<HttpResponseWriter>& writer,
              int status,
              const std::string& body);
  LogStatus StatusOf(const Stream& stream) const;
  void ApplyRetention(Stream& stream) const;
  bool TakeAppendToken();
  std::string FormatStats() const;

  EventLoop& loop;
  LogStandInOptions options;
  std::map<std::string, Stream> streams;
  std::deque<WaitingRead> waiting;
  double append_tokens;
  TimePoint tokens_at;
  TimePoint outage_until;
  bool silent_outage = false;
  TimePoint slow_until;
  Duration delay{};
  std::int64_t acks_to_lose = 0;
  std::uint64_t refused_by_rate = 0;
  // Writers that a silent outage never answers.
  std::deque<std::shared_ptr<HttpResponseWriter>> silenced;
  std::unique_ptr<Timer> tick;
  std::uint64_t next_delayed_id = 1;
  std::map<std::uint64_t, std::unique_ptr<Timer>> delayed;
};

}  // namespace toucanhollow

#endif  // STANDINS_LOG_LOG_STAND_IN_H_
