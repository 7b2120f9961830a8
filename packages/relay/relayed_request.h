// RelayRun: the life of one caller's request, from its arrival to the final
// answer.
//
// Three ends: the server's answer; a refusal that states that the request did
// not run (only while that is certain); or a failure that promises nothing.
#ifndef RELAY_RELAYED_REQUEST_H_
#define RELAY_RELAYED_REQUEST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "http_stream/message_head.h"
#include "metrics/metrics.h"
#include "relay/dispatcher.h"
#include "relay/platform_view_task.h"
#include "relay/relay_codec.h"
#include "relay/server_attempt.h"
#include "traffic/event_splitter.h"
#include "traffic/return_order.h"

namespace toucanhollow {

struct RelayContext {
  EventLoop& loop;
  const RelayCodec& codec;
  Dispatcher& dispatcher;
  Metrics& metrics;
  const Belief& belief;
  PatienceMemory& patience;
};

// How the answer leaves. The sink may be gone after any of them.
struct CallerSink {
  // An answer with its whole body.
  std::function<void(int status,
                     std::string_view reason,
                     HttpHeaders headers,
                     std::string body)>
      answer;
  // The head of an answer whose body comes in pieces.
  std::function<void(int status, std::string_view reason, HttpHeaders headers)>
      begin;
  std::function<void(std::string_view bytes)> piece;
  std::function<void()> end;
  // The answer cannot be completed; the connection must show it.
  std::function<void()> abort;
  // Bytes that the caller has not taken yet.
  std::function<std::size_t()> unsent;
};

class RelayRun : public std::enable_shared_from_this<RelayRun> {
 public:
  RelayRun(RelayContext context,
           std::uint64_t number,
           RequestHead head,
           std::string body,
           TimePoint arrived_at,
           CallerSink sink);

  void Start();
  // Stops all work; no call to the sink follows.
  void Cancel(std::string_view reason);
  // The caller has taken what was queued for it.
  void OnCallerDrained();
  // To be called often: leaves an answer that does not end and is not passed
  // on, and ends a request without progress while its model group stands.
  void Sweep(TimePoint now);

 private:
  enum class AnswerMode { kUndecided, kDiscard, kBuffer, kEvents, kRaw };

  void Place();
  void Send(const std::shared_ptr<ServerPool>& pool);
  ServerRequestFacts FactsFor(const ServerPool& pool, TimePoint now) const;
  // Ends a request without progress while its model group stands.
  void EndIfGroupStands(TimePoint now);
  // Goes on without the rest of an answer that is not passed on.
  void LeaveDiscarded(std::string_view why);
  void OnHead(const ResponseHead& head, const ResponseFacts& facts);
  void OnBody(const std::string& bytes);
  // `said_not_run`: the server stated it before its answer was left.
  void OnEnd(AttemptEnd end,
             std::string_view detail,
             bool said_not_run = false);
  void OnComplete();
  void OnDeadline();
  void ReleaseServer();
  void PassOn(std::string_view bytes);
  // Sends the request elsewhere if the route, the time and the shared bounds
  // allow it.
  bool TryElsewhere(bool was_sent, std::string_view why);
  bool MayTryElsewhere(bool was_sent) const;
  void Refuse(int status, std::string_view why, Duration retry_after);
  void Fail(int status, std::string_view why);
  void Finish(std::string_view outcome, int status, std::string_view why);
  bool IsRepeatableHere() const;

  RelayContext context;
  RequestId number;
  RequestHead head;
  std::string body;
  TimePoint arrived_at;
  CallerSink sink;

  RequestFacts facts;
  std::shared_ptr<const TrafficConfig> traffic;
  const Route* route = nullptr;
  const ClientAccount* account = nullptr;
  ServiceName service;
  TimePoint deadline;
  std::unique_ptr<Timer> deadline_timer;

  std::set<std::string> tried;
  int sends = 0;
  int placements = 0;
  // A server may have run the request.
  bool maybe_ran = false;
  // The caller was refused before and has no further try.
  bool returning = false;
  bool waiting = false;
  bool finished = false;

  std::shared_ptr<ServerPool> pool;
  int unread_tokens = 0;
  std::unique_ptr<ServerAttempt> attempt;
  AnswerMode mode = AnswerMode::kUndecided;
  ResponseHead answer;
  bool answer_not_run = false;
  std::string buffered;
  EventSplitter events;
  bool begun = false;
  TimePoint first_byte_at;
  // When the request was sent, or the last progress: bytes of an answer, or of
  // a stream a whole new event.
  TimePoint heard_at;
  // Of an answer that is not passed on.
  std::size_t discarded_bytes = 0;
  TimePoint discarding_since;
};

}  // namespace toucanhollow

#endif  // RELAY_RELAYED_REQUEST_H_
