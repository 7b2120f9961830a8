// CallerSession: one caller's connection. It serves the connection's requests
// one after another.
#ifndef RELAY_CALLER_SESSION_H_
#define RELAY_CALLER_SESSION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "event_loop/event_loop.h"
#include "http_stream/message_parser.h"
#include "http_stream/tcp_connection.h"
#include "relay/relay_memory.h"
#include "relay/relayed_request.h"

namespace toucanhollow {

class CallerSession {
 public:
  // `on_closed` is called once, when the session can be destroyed. The session
  // must not be destroyed inside that call.
  CallerSession(RelayContext context,
                int socket,
                std::uint64_t number,
                std::function<void()> on_closed);
  ~CallerSession();

  // Enforces the time limits: refuses requests that arrive too slowly, and
  // closes idle and closing connections. To be called periodically.
  void Sweep(TimePoint now);
  // Makes the next response that begins the last one of this connection, and
  // ends an open request before the host does.
  void StartDraining(TimePoint now);
  // Makes the connection one that refuses its first request with 503, for a
  // host with too many connections.
  void RefuseRequests();
  // True for a connection that refuses its first request.
  bool IsRefusing() const;
  // Closes the connection at once and cancels its request, if there is one.
  void Abort(std::string_view reason);
  bool IsClosed() const;
  // True while a request is being read or answered, or is likely to be on its
  // way.
  bool HasWork(TimePoint now) const;
  // Begins to close the connection if no request is being read or answered. A
  // request that the event loop has not delivered yet is served first, and one
  // that waits behind unsent answers is refused.
  void CloseIfIdle();
  // As CloseIfIdle, and ends a request whose deadline has passed, refuses one
  // that has not arrived completely, and those that wait until the answers
  // before them have been sent. For the end of the host.
  void GiveLastAnswer(TimePoint now);
  HeldMemory held_memory() const;

 private:
  enum class Phase { kIdle, kReading, kResponding, kClosing, kClosed };

  void OnData(std::string_view bytes);
  // Returns true if the caller may have shut down only its sending side, and
  // the connection stays open for what it is owed.
  bool OnInputEnd();
  // True if the caller, whose input has ended, may still read its answer, which
  // interim responses or the next bytes of the answer are to show.
  bool MayStillRead();
  // Notices a caller that has left while the connection is not read.
  void CheckUnreadCaller();
  // Writes an interim response, which a caller that has closed answers with a
  // reset, and one that still reads passes over.
  void ProbeCaller();
  void OnEnd(ConnectionEnd end);
  // Logs what the end of the connection leaves unfinished.
  void LogLoss(bool reset) const;
  void OnOutputDrained();
  void Advance();
  // Sees to it that there is memory for the body that is being read. Returns
  // false while there is none: reading is then paused, or the request refused.
  bool ReserveBody();
  // Returns false if the request was refused.
  bool TakeBodyAnswer(BodyAnswer answer);
  // Lets the kernel hold more unread bytes from now on, if there is memory for
  // them.
  void RaiseReceiveBuffer(std::size_t bytes);
  // Returns false if the connection has a larger receive buffer than may be
  // kept for it once it is idle.
  bool MayKeepBuffer();
  // Refuses the request for want of memory. `expected_wait`: until there may be
  // some.
  void RefuseBody(Duration expected_wait);
  // When a body must have got its memory.
  TimePoint BodyWaitEnd(TimePoint now) const;
  // Counts what the head that is being read takes. Returns false if there is no
  // memory for it.
  bool ReserveHead();
  // Gives back what is held for a request that is being read.
  void ReleaseInput();
  std::shared_ptr<const std::string> TakeBody();
  // Sets the bytes of responses that are held. Returns false if there is no
  // memory for them.
  bool ReserveAnswer(std::size_t bytes);
  void StartRequest();
  // Starts the request whose body has waited, unless its caller has left or may
  // have.
  void StartUnlessCallerLeaves();
  void RefuseInput(int status,
                   std::string_view why,
                   std::optional<Duration> retry_after = std::nullopt);
  // Empty unless the head of the request being read has arrived and is proper.
  std::optional<RequestMetadata> ArrivedMetadata() const;
  void SendHead(int status,
                std::string_view reason,
                HttpHeaders headers,
                std::string_view framing);
  void FinishResponse();
  // Keeps bytes of later requests, or refuses these if there is no memory.
  void KeepPipelined(std::string_view bytes);
  std::string TakePipelined();
  // True if later requests have arrived that are not answered yet.
  bool HasPipelined() const;
  // Bounds the next read, so that no more of later requests arrives than may be
  // held.
  void LimitReads();
  // Reads what has arrived of the request that is being read.
  void ReadArrived();
  // False while so much is queued for the caller that its next request has to
  // wait.
  bool MayServeNext() const;
  // Serves the requests that have arrived behind the last one, until one of
  // them is not answered at once or has to wait. A call from within itself does
  // nothing, so that the stack does not grow with the number of requests.
  void ServePipelined();
  // Closes the sending side behind the queued bytes and waits for the caller to
  // close.
  void BeginClosing();
  void Close();
  // True if the request being read has taken too long.
  bool IsInputOverdue(TimePoint now) const;
  // How long the caller whose request's head has arrived waits for its answer.
  Duration FindPatience() const;
  const IngressLimits& Limits() const;

  RelayContext context;
  std::unique_ptr<TcpConnection> connection;
  std::uint64_t number;
  std::function<void()> on_closed;
  std::unique_ptr<RequestParser> parser;
  std::shared_ptr<RelayedRequest> request;
  Phase phase = Phase::kIdle;
  bool draining = false;
  bool refuses_requests = false;
  // The head of the current response carried "Connection: close".
  bool close_announced = false;
  bool continue_sent = false;
  bool caller_keeps_alive = true;
  bool is_head_request = false;
  bool is_http_1_0 = false;
  // The caller sends nothing any more.
  bool input_ended = false;
  // The end of the input was seen before what is unread in front of it.
  bool input_end_seen = false;
  // The head of the response to the present request was sent.
  bool response_begun = false;
  // Interim responses that are still to be sent after the end of the input.
  int probes_left = 0;
  // Set after an end of the input in the midst of a response, until its next
  // bytes are sent: the caller counts as gone then.
  std::optional<TimePoint> silence_end;
  // The body of the present request has waited for memory.
  bool body_waited = false;
  // Set until the present request is started, if its body has waited.
  std::unique_ptr<Timer> start_timer;
  std::uint64_t request_count = 0;
  // Of the connection and, while there is one, its request.
  MemoryHold connection_hold;
  MemoryHold raised_buffer_hold;
  // Of responses that their server or their caller has not ended yet.
  MemoryHold answer_hold;
  // Of the body that is being read.
  MemoryHold body_hold;
  // Set while the body waits for memory.
  std::optional<std::uint64_t> body_ticket;
  // Bytes of later requests that arrived while a request is being answered.
  std::string pipelined_bytes;
  MemoryHold pipelined_hold;
  // Bytes of later requests were discarded for want of memory.
  bool pipelined_refused = false;
  bool serving_pipelined = false;
  // Later requests no longer wait until the answers before them were sent.
  bool host_ends = false;
  // Start of the phase, or when the last part of a request body, or bytes on a
  // closing connection, arrived.
  TimePoint waiting_since;
  // When the body that is being read must have arrived. Empty until the head
  // has.
  std::optional<TimePoint> body_due;
  // When the last bytes for the caller were handed to the kernel.
  TimePoint closing_since;
  Duration idle_timeout;
};

}  // namespace toucanhollow

#endif  // RELAY_CALLER_SESSION_H_
