// RelayedRequest: one caller's request, from its arrival to the end of the
// response.
//
// It ends in one of three ways: with the server's response; with a refusal,
// which states that no server ran the request and is sent only while that is
// certain; or with a failure, after which a server may have run the request.
#ifndef RELAY_RELAYED_REQUEST_H_
#define RELAY_RELAYED_REQUEST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "http_stream/message_head.h"
#include "metrics/metrics.h"
#include "relay/dispatcher.h"
#include "relay/platform_view_task.h"
#include "relay/prompt_quarantine.h"
#include "relay/relay_codec.h"
#include "relay/relay_memory.h"
#include "relay/server_attempt.h"
#include "relay/server_silence.h"
#include "relay/stop_schedule.h"
#include "traffic/caller_retry.h"
#include "traffic/event_splitter.h"

namespace toucanhollow {

struct RelayContext {
  EventLoop& loop;
  const RelayCodec& codec;
  Dispatcher& dispatcher;
  PromptQuarantine& quarantine;
  RelayMemory& memory;
  ServerSilence& silence;
  Metrics& metrics;
  const PlatformView& view;
  ObservedTimeouts& observed_timeouts;
  // Set once the host has begun to stop.
  const std::optional<StopSchedule>& stop;
  // End of the last pause in which the host did not run.
  const TimePoint& awake_since;
};

// Writes the response to the caller's connection. Any of the calls may destroy
// the sink.
struct ResponseSink {
  // Sends a complete response.
  std::function<void(int status,
                     std::string_view reason,
                     HttpHeaders headers,
                     std::string body)>
      send_response;
  // Sends the head of a response whose body follows in chunks.
  std::function<void(int status, std::string_view reason, HttpHeaders headers)>
      send_head;
  std::function<void(std::string_view bytes)> send_chunk;
  std::function<void()> finish;
  // Closes the connection behind the bytes that were sent, which shows the
  // caller that the response is incomplete.
  std::function<void()> abort;
  // Number of bytes that are queued for the caller.
  std::function<std::size_t()> unsent_bytes;
  // Sets the bytes of the response that are held in all. Returns false if there
  // is no memory for them.
  std::function<bool(std::size_t bytes)> reserve;
};

class RelayedRequest : public std::enable_shared_from_this<RelayedRequest> {
 public:
  RelayedRequest(RelayContext context,
                 std::uint64_t number,
                 RequestHead head,
                 std::shared_ptr<const std::string> body,
                 TimePoint arrived_at,
                 ResponseSink sink);

  void Start();
  // Ends the request in time before the host does, which has begun to stop.
  void LimitToStop(TimePoint now);
  // Ends the request if its deadline has passed and the timer that tells so was
  // not called yet.
  void EndIfOverdue(TimePoint now);
  // Stops all work. The sink is not called any more.
  void Cancel(std::string_view reason);
  // To be called when all bytes queued for the caller have been sent; resumes
  // reading from the server.
  void OnOutputDrained();
  // To be called periodically: stops reading a discarded response that takes
  // too long, and fails a request that makes no progress while its model group
  // executes no passes or the machine of its server is silent.
  void Sweep(TimePoint now);
  HeldMemory held_memory() const;

 private:
  // What happens to the server's response: kDiscard reads it without forwarding
  // it, kBuffer holds it until it is complete, kEvents forwards whole events of
  // a stream, and kRaw forwards its bytes as they come.
  enum class ResponseMode { kUndecided, kDiscard, kBuffer, kEvents, kRaw };

  void SetDeadline(TimePoint deadline, TimePoint now);
  // True if the deadline is the host's end and not the caller's own.
  bool EndsWithHost() const;
  void Place();
  void Send(const Placement& placement);
  ServerRequestMetadata MakeServerMetadata(const ServerConnectionPool& pool,
                                           TimePoint now) const;
  // Fails the request before its caller leaves, if it makes no progress and its
  // model group is closed or stalled, or the machine of its server is silent.
  void FailIfServerHalted(TimePoint now);
  // Ends the attempt without reading the rest of a discarded response.
  void AbandonDiscarded(std::string_view why);
  void OnHead(const ResponseHead& head, const ResponseMetadata& metadata);
  // Has the dispatcher learn what the server's answer says of the server.
  void RecordStatements(const ResponseHead& head,
                        const ResponseMetadata& metadata);
  void OnBody(const std::string& bytes);
  // `known_not_run`: the server stated that it did not run the request, before
  // its response was abandoned.
  void OnEnd(AttemptEnd end,
             std::string_view detail,
             bool known_not_run = false);
  void OnComplete();
  // Reads what has arrived from the server, so that a time limit is not judged
  // by what was read before a pause of this process.
  void ReadPending();
  void OnDeadline();
  // Ends a request that an exception has kept from ending, without an answer
  // if there can be none.
  void EndOverdue();
  // Ends the use of the server. The result of an attempt whose request was
  // never written is kSettled.
  void ReleaseServer(AttemptResult result);
  // Tells the dispatcher that the server bore the isolated request, or that the
  // request has left it.
  void EndIsolation();
  // Records that the answer of the present attempt has begun.
  void MarkBegun(TimePoint now);
  // Handles the end of an attempt without a usable response, once it is known
  // whether the server crashed.
  void AfterLostAttempt(AttemptEnd end,
                        const std::string& detail,
                        bool not_run);
  // Returns false if there is no memory for what is held of the response.
  bool ReserveAnswer() const;
  void ForwardBody(std::string_view bytes);
  // Places the request again if the route, the time left and the shared retry
  // bound allow it.
  bool RetryElsewhere(bool was_sent, std::string_view why);
  bool CanRetryElsewhere(bool was_sent) const;
  // Frees the body, once the present attempt is the last one.
  void ReleaseBodyIfFinal();
  void Refuse(int status, std::string_view why, Duration retry_after);
  void Fail(int status, std::string_view why);
  void Finish(std::string_view outcome, int status, std::string_view why);
  bool HasRepeatableRoute() const;

  RelayContext context;
  RequestId number;
  RequestHead head;
  // Null once no server can get it any more.
  std::shared_ptr<const std::string> body;
  TimePoint arrived_at;
  ResponseSink sink;

  RequestMetadata metadata;
  std::shared_ptr<const TrafficConfig> traffic;
  const Route* route = nullptr;
  const ClientAccount* account = nullptr;
  ServiceName service;
  // Of the prompt, as the caller wrote them; never null.
  PartNames prompt_part_names = std::make_shared<const std::string>();
  // As by IdentifyParts.
  std::vector<PartId> prompt_parts;
  // Long past until Start has read it.
  TimePoint deadline;
  std::unique_ptr<Timer> deadline_timer;

  std::set<std::string> tried_servers;
  int sent_attempts = 0;
  int placements = 0;
  // True once a server may have run the request.
  bool maybe_ran = false;
  // The caller was refused before and has no further retry.
  bool is_caller_retry = false;
  bool waiting = false;
  // Waits until it is known whether the server of the last attempt crashed.
  bool checking = false;
  bool finished = false;

  std::shared_ptr<ServerConnectionPool> pool;
  int pending_prompt_tokens = 0;
  // Set while a request with parts that others may share is at a server.
  std::optional<AttemptTicket> ticket;
  // Set until it is known whether the server bore the isolated request.
  std::optional<IsolationGrant> isolation;
  std::unique_ptr<ServerAttempt> attempt;
  ResponseMode mode = ResponseMode::kUndecided;
  ResponseHead response;
  bool response_not_run = false;
  // Id that the response names as the cause of a refusal; empty if none.
  std::string server_at_fault;
  std::string buffered;
  EventSplitter events;
  bool response_started = false;
  // In the present or last attempt, a complete event or response has arrived.
  bool answer_began = false;
  TimePoint first_byte_at;
  // When the present or last attempt got its server, and when it was written.
  TimePoint sent_at;
  TimePoint written_at;
  // Since when the caller has been waiting: its arrival, or the last progress,
  // which is bytes of a response or, in a stream, a new complete event.
  TimePoint waiting_since;
  // Size of a discarded response so far, in bytes, and when its head arrived.
  std::size_t discarded_bytes = 0;
  TimePoint discard_started_at;
};

}  // namespace toucanhollow

#endif  // RELAY_RELAYED_REQUEST_H_
