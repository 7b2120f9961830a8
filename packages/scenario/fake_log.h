// The platform's append-only log: streams with offsets, long poll, retention,
// outage, slowness, and answers lost after effect.
#ifndef SCENARIO_FAKE_LOG_H_
#define SCENARIO_FAKE_LOG_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/log_entry.h"
#include "scenario/event_queue.h"
#include "scenario/fake_network.h"

namespace toucanhollow {

struct LogRead {
  // False when the log could not be reached.
  bool reached = false;
  std::vector<LogEntry> entries = {};
  // Oldest offset that the stream still holds.
  LogOffset first_offset = 1;
  // Offset of the last entry when the log answered, 0 if there is none.
  LogOffset end = 0;
};

class FakeLog {
 public:
  FakeLog(EventQueue& queue, FakeNetwork& network);

  void Apply(const Fault& fault);
  // Drops entries older than this, looked at whenever the stream is read.
  void SetRetention(Duration age);
  // Appends before the run begins.
  void Preload(const std::string& stream, const std::string& payload);

  // Appends the payloads in order. `answered` receives the first offset, or 0
  // when the log refused without effect; it is never called when the request
  // or the answer is lost.
  void Append(const std::string& from,
              const std::string& stream,
              const std::vector<std::string>& payloads,
              const std::function<void(LogOffset)>& answered);
  // Long poll: answers with the entries from `offset` on as soon as there are
  // any, and with none after kPollTimeout.
  void Read(const std::string& from,
            const std::string& stream,
            LogOffset offset,
            const std::function<void(LogRead)>& answered);

  // The stream as it stands, for observation.
  const std::vector<LogEntry>& Entries(const std::string& stream);
  // Wall time of the log's own clock, which stamps the entries.
  WallTime WallNow() const;

 private:
  struct Stream {
    std::vector<LogEntry> entries;
    LogOffset first = 1;
    std::vector<std::function<void()>> waiting;
  };
  struct Active {
    Fault fault;
    TimePoint until;
  };
  const Active* Find(FaultKind kind) const;
  LogRead EntriesFrom(const std::string& stream, LogOffset offset);

  EventQueue& queue;
  FakeNetwork& network;
  std::map<std::string, Stream> streams;
  std::vector<Active> active;
  // Zero keeps everything.
  Duration retention{};
};

}  // namespace toucanhollow

#endif  // SCENARIO_FAKE_LOG_H_
