#include "relay/caller_session.h"

#include <algorithm>
#include <utility>

#include "http_stream/write_message.h"
#include "json_log/json_log.h"
#include "relay/receive_buffer.h"
#include "relay/request_number.h"
#include "traffic/caller_retry.h"
#include "traffic/find_route.h"

namespace toucanhollow {
namespace {

// Reading stops when this much of later requests has arrived while a request is
// being answered. It is counted as a whole if there are any.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{16} * 1024;
// A caller's next request waits while more of the answers before it is queued.
constexpr std::size_t kMaxQueuedAnswerBytes = std::size_t{64} * 1024;
// Callers reuse connections until close to the idle timeout. Closing this much
// later keeps the close from racing with such a request.
constexpr Duration kIdleMargin = Seconds(2);
// A closing connection is read until its caller closes too, or has sent nothing
// for this long. A close while bytes are unread would reset the connection and
// lose the response.
constexpr Duration kCloseWait = Milliseconds(500);
// Limits the time for a caller that goes on sending.
constexpr Duration kMaxCloseWait = Seconds(2);
// For this long after a caller connected or was answered, a request of it may
// be in flight.
constexpr Duration kRequestInFlightTime = Milliseconds(500);
// Retry-After time of a host with too many connections.
constexpr Duration kRefusedRetryAfter = Milliseconds(500);
// Retry-After time of refusals that are not caused by load.
constexpr Duration kShortRetryAfter = Milliseconds(500);
// Longest time between two parts of a request body, and for all of them if the
// caller does not wait longer for its answer.
constexpr Duration kBodyStallTimeout = Seconds(5);

constexpr std::size_t kSendBufferBytes = std::size_t{128} * 1024;
// From the first body on that memory was reserved for, or from a pause of
// reading behind later requests on: the end of the connection is noticed only
// if all bytes before it fit. TCP windows stay below 64 KB, as their scale is
// fixed by the buffer of the listener.
constexpr std::size_t kRaisedReceiveBufferBytes = std::size_t{128} * 1024;
// What an open connection takes, with all that the kernel holds unread.
constexpr std::size_t kConnectionBytes =
    std::size_t{4} * 1024 + 2 * kReceiveBufferBytes;
// What a request takes beside a large body or answer, with what the kernel
// holds unread of its server's answer.
constexpr std::size_t kRequestBytes =
    std::size_t{16} * 1024 + 2 * kReceiveBufferBytes;
// Heads that take up to this, twice, are part of kRequestBytes.
constexpr std::size_t kSmallHeadBytes = std::size_t{4} * 1024;
// Bodies up to this size are part of kRequestBytes.
constexpr std::size_t kSmallRequestBodyBytes = std::size_t{16} * 1024;
// Answers up to this size are part of kRequestBytes.
constexpr std::size_t kSmallAnswerBytes = std::size_t{16} * 1024;
// Callers leave if their request is not read within a second, or a third of the
// time that they have left.
constexpr Duration kMaxBodyWait = Milliseconds(400);
constexpr int kBodyWaitDivisor = 6;
constexpr Duration kMinMemoryRetryAfter = Milliseconds(300);
constexpr Duration kMaxMemoryRetryAfter = Milliseconds(1500);

// A body and the memory that is held for it.
struct HeldBody {
  std::string bytes;
  MemoryHold hold;
};

// A reset comes after the first one at the latest, and the next one fails. Some
// clients limit the interim responses that they take.
constexpr int kCallerProbes = 3;
// A stream that has begun shows by its next bytes whether a caller whose input
// has ended still reads. One that sends none for this long counts as abandoned.
constexpr Duration kHalfCloseSilence = Milliseconds(200);
// A caller that left while its body waited for memory has closed behind it.
constexpr Duration kInputEndWait = Milliseconds(10);

constexpr std::string_view kInterimResponse = "HTTP/1.1 100 Continue\r\n\r\n";

struct ResetOnExit {
  bool& flag;

  ~ResetOnExit() { this->flag = false; }
};

}  // namespace

CallerSession::CallerSession(RelayContext context,
                             int socket,
                             std::uint64_t number,
                             std::function<void()> on_closed)
    : context(context),
      connection(std::make_unique<TcpConnection>(context.loop, socket)),
      number(number),
      on_closed(std::move(on_closed)),
      waiting_since(EventLoop::Now()),
      idle_timeout(this->Limits().idle_timeout) {
  this->connection->LimitReceiveBuffer(kReceiveBufferBytes);
  this->connection->LimitSendBuffer(kSendBufferBytes);
  this->connection_hold = context.memory.Open(MemoryUse::kConnection);
  this->refuses_requests = !this->connection_hold.Resize(kConnectionBytes);
  this->raised_buffer_hold = context.memory.Open(MemoryUse::kSmallBody);
  this->pipelined_hold = context.memory.Open(MemoryUse::kConnection);
  this->answer_hold = context.memory.Open(MemoryUse::kAnswer);
  this->LimitReads();
  this->connection->SetCallbacks(
      {nullptr, [this](std::string_view bytes) { this->OnData(bytes); },
       [this] { this->OnOutputDrained(); },
       [this](ConnectionEnd end) { this->OnEnd(end); },
       [this] { return this->OnInputEnd(); }});
}

CallerSession::~CallerSession() {
  if (this->request != nullptr) {
    this->request->Cancel("the session was destroyed");
  }
  this->ReleaseInput();
}

const IngressLimits& CallerSession::Limits() const {
  static const IngressLimits before_configuration;
  const auto& traffic = this->context.view.traffic;
  return traffic == nullptr ? before_configuration : traffic->limits;
}

void CallerSession::OnData(std::string_view bytes) {
  switch (this->phase) {
    case Phase::kClosing:
      this->waiting_since = EventLoop::Now();
      return;
    case Phase::kClosed:
      return;
    case Phase::kResponding:
      this->KeepPipelined(bytes);
      return;
    case Phase::kIdle:
      if (this->refuses_requests) {
        this->RefuseInput(503, "too many connections", kRefusedRetryAfter);
        return;
      }
      if (!this->connection_hold.Resize(kConnectionBytes + kRequestBytes)) {
        this->RefuseInput(503, "no memory for the request",
                          kMinMemoryRetryAfter);
        return;
      }
      this->parser = std::make_unique<RequestParser>(
          ParserLimits{this->Limits().header_bytes, this->Limits().body_bytes});
      this->phase = Phase::kReading;
      this->waiting_since = EventLoop::Now();
      this->body_due.reset();
      this->continue_sent = false;
      break;
    case Phase::kReading:
      if (this->parser->head_done()) {
        this->waiting_since = EventLoop::Now();
      }
      break;
  }
  this->parser->Feed(bytes);
  this->Advance();
}

void CallerSession::Advance() {
  switch (this->parser->problem()) {
    case ParseProblem::kNone:
      break;
    case ParseProblem::kMalformed:
      this->RefuseInput(400, "malformed request");
      return;
    case ParseProblem::kHeaderTooLarge:
      this->RefuseInput(431, "header too large");
      return;
    case ParseProblem::kBodyTooLarge:
      this->RefuseInput(413, "body too large");
      return;
    case ParseProblem::kUnknownCoding:
      this->RefuseInput(501, "unknown transfer coding");
      return;
  }
  if (!this->ReserveHead()) {
    this->RefuseInput(503, "no memory for the request", kMinMemoryRetryAfter);
    return;
  }
  if (this->parser->done()) {
    this->StartRequest();
    return;
  }
  if (this->parser->head_done() && !this->body_due) {
    this->body_due =
        EventLoop::Now() + std::max(this->FindPatience(), kBodyStallTimeout);
  }
  if (this->parser->head_done() && !this->ReserveBody()) {
    return;
  }
  if (this->parser->head_done() && !this->continue_sent &&
      IsSameHeaderName(FindHeader(this->parser->head().headers, "Expect"),
                       "100-continue")) {
    this->continue_sent = true;
    this->connection->Write(kInterimResponse);
  }
  this->LimitReads();
}

bool CallerSession::ReserveHead() {
  // The parsed head is copied for the server that gets the request. The parts
  // of a prompt take as much again, twice.
  const std::size_t head = 4 * this->parser->head_memory_bytes();
  const std::size_t other = kRequestBytes - kSmallHeadBytes;
  return this->connection_hold.Resize(
      std::max(this->connection_hold.bytes(),
               kConnectionBytes + std::max(kRequestBytes, head + other)));
}

bool CallerSession::ReserveBody() {
  if (this->body_ticket) {
    return false;
  }
  const auto announced = this->parser->content_length();
  const std::size_t arrived = this->parser->body_bytes();
  const std::size_t reserved = this->body_hold.bytes();
  if (std::max<std::size_t>(announced.value_or(0), arrived) <=
      std::max(reserved, kSmallRequestBodyBytes)) {
    return true;
  }
  if (reserved > 0) {
    this->RefuseBody(kMaxMemoryRetryAfter);
    return false;
  }
  // A body in chunks may become as large as any.
  const std::size_t bytes = announced.value_or(std::min<std::size_t>(
      this->Limits().body_bytes, this->context.memory.max_unannounced_bytes()));
  const TimePoint now = EventLoop::Now();
  BodyAnswer answer = this->context.memory.ReserveBody(
      bytes, this->BodyWaitEnd(now), now, [this](BodyAnswer late_answer) {
        this->body_ticket.reset();
        this->waiting_since = EventLoop::Now();
        if (this->TakeBodyAnswer(std::move(late_answer))) {
          this->body_waited = true;
          this->connection->SetReading(true);
          this->Advance();
        }
      });
  if (answer.verdict != BodyVerdict::kWaits) {
    return this->TakeBodyAnswer(std::move(answer));
  }
  this->body_ticket = answer.ticket;
  this->connection->SetReading(false);
  return false;
}

bool CallerSession::TakeBodyAnswer(BodyAnswer answer) {
  if (answer.verdict == BodyVerdict::kGranted) {
    this->body_hold = std::move(answer.hold);
    this->RaiseReceiveBuffer(
        std::min(kRaisedReceiveBufferBytes, this->body_hold.bytes()));
    return true;
  }
  this->RefuseBody(answer.expected_wait);
  return false;
}

void CallerSession::RaiseReceiveBuffer(std::size_t bytes) {
  // The buffer is not lowered again before the connection ends: the kernel
  // would drop bytes that the caller sends into the window it was offered.
  if (2 * bytes > this->raised_buffer_hold.bytes() &&
      this->raised_buffer_hold.ChangeUse(MemoryUse::kSmallBody) &&
      this->raised_buffer_hold.Resize(2 * bytes)) {
    this->connection->LimitReceiveBuffer(bytes);
  }
}

bool CallerSession::MayKeepBuffer() {
  return this->raised_buffer_hold.ChangeUse(MemoryUse::kIdleBuffer);
}

void CallerSession::RefuseBody(Duration expected_wait) {
  const Duration retry_after =
      std::clamp(expected_wait, kMinMemoryRetryAfter, kMaxMemoryRetryAfter);
  const std::optional<RequestMetadata> metadata = this->ArrivedMetadata();
  this->RefuseInput(503, "no memory for the body",
                    metadata && metadata->deadline
                        ? RetryDelay(retry_after, *metadata->deadline)
                        : retry_after);
}

TimePoint CallerSession::BodyWaitEnd(TimePoint now) const {
  const std::optional<RequestMetadata> metadata = this->ArrivedMetadata();
  return now +
         (metadata && metadata->deadline
              ? std::min(kMaxBodyWait, *metadata->deadline / kBodyWaitDivisor)
              : kMaxBodyWait);
}

void CallerSession::ReleaseInput() {
  if (this->body_ticket) {
    this->context.memory.Withdraw(*std::exchange(this->body_ticket, {}));
  }
  this->parser.reset();
  this->body_hold = MemoryHold();
}

std::shared_ptr<const std::string> CallerSession::TakeBody() {
  const auto body = std::make_shared<HeldBody>();
  body->bytes = this->parser->TakeBody();
  // Memory was reserved for the largest body if its length was not announced.
  if (body->bytes.capacity() / 2 > body->bytes.size()) {
    body->bytes.shrink_to_fit();
  }
  this->body_hold.Resize(std::min(this->body_hold.bytes(), body->bytes.size()));
  body->hold = std::move(this->body_hold);
  return {body, &body->bytes};
}

void CallerSession::StartRequest() {
  this->phase = Phase::kResponding;
  this->KeepPipelined(this->parser->TakeUnparsedBytes());
  RequestHead head = this->parser->head();
  std::shared_ptr<const std::string> body = this->TakeBody();
  this->ReleaseInput();
  this->caller_keeps_alive = head.keep_alive;
  this->is_head_request = head.method == "HEAD";
  this->response_begun = false;
  this->is_http_1_0 = head.is_http_1_0;
  ResponseSink sink;
  sink.send_response = [this](int status, std::string_view reason,
                              HttpHeaders headers, const std::string& body) {
    // A response to HEAD announces the length that GET would have.
    const std::string length(FindHeader(headers, "Content-Length"));
    const bool keep_length = this->is_head_request && !length.empty();
    this->SendHead(status, reason, std::move(headers),
                   keep_length ? length : std::to_string(body.size()));
    this->connection->Write(body);
    this->ReserveAnswer(this->connection->unsent());
    this->FinishResponse();
  };
  sink.send_head = [this](int status, std::string_view reason,
                          HttpHeaders headers) {
    this->SendHead(status, reason, std::move(headers), "");
  };
  sink.send_chunk = [this](std::string_view bytes) {
    this->silence_end.reset();
    this->connection->Write(WriteChunk(bytes));
  };
  sink.finish = [this] {
    this->connection->Write(LastChunk());
    this->FinishResponse();
  };
  sink.abort = [this] {
    this->request.reset();
    this->BeginClosing();
  };
  sink.unsent_bytes = [this] { return this->connection->unsent(); };
  sink.reserve = [this](std::size_t bytes) {
    return this->ReserveAnswer(bytes);
  };
  ++this->request_count;
  this->request = std::make_shared<RelayedRequest>(
      this->context, RequestNumber(this->number, this->request_count),
      std::move(head), std::move(body), EventLoop::Now(), std::move(sink));
  if (std::exchange(this->body_waited, false)) {
    this->start_timer = std::make_unique<Timer>(
        this->context.loop, kInputEndWait, kInputEndWait,
        [this] { this->StartUnlessCallerLeaves(); });
    return;
  }
  const auto active_request = this->request;
  active_request->Start();
}

void CallerSession::StartUnlessCallerLeaves() {
  if (this->input_ended && this->probes_left > 0) {
    return;
  }
  const auto ended_timer = std::move(this->start_timer);
  const auto active_request = this->request;
  active_request->Start();
}

// `framing` is the length of the body in bytes; empty selects chunked encoding.
void CallerSession::SendHead(int status,
                             std::string_view reason,
                             HttpHeaders headers,
                             std::string_view framing) {
  std::erase_if(headers, [](const HttpHeader& header) {
    return IsSameHeaderName(header.name, "Content-Length");
  });
  if (framing.empty()) {
    headers.push_back({"Transfer-Encoding", "chunked"});
  } else {
    headers.push_back({"Content-Length", std::string(framing)});
  }
  // A request that was read behind this one is answered before the close.
  this->response_begun = true;
  const bool close =
      !this->caller_keeps_alive ||
      ((this->draining || this->input_ended || !this->MayKeepBuffer()) &&
       !this->HasPipelined());
  if (close) {
    this->close_announced = true;
    headers.push_back({"Connection", "close"});
  }
  this->connection->Write(WriteResponseHead(status, reason, headers));
}

void CallerSession::RefuseInput(int status,
                                std::string_view why,
                                std::optional<Duration> retry_after) {
  LogJsonNow("input_refused",
             {{"session", static_cast<std::int64_t>(this->number)},
              {"status", static_cast<std::int64_t>(status)},
              {"why", why}});
  this->context.metrics.Count("input_refused_total",
                              "status=\"" + std::to_string(status) + "\"");
  this->draining = true;
  const std::optional<RequestMetadata> metadata = this->ArrivedMetadata();
  this->SendHead(status, "",
                 this->context.codec.relay_response_headers(
                     metadata ? metadata->request_id : "", retry_after),
                 "0");
  this->BeginClosing();
}

std::optional<RequestMetadata> CallerSession::ArrivedMetadata() const {
  if (this->parser == nullptr || !this->parser->head_done()) {
    return std::nullopt;
  }
  const Result<RequestMetadata> metadata =
      this->context.codec.read_request(this->parser->head().headers);
  return metadata ? std::optional(metadata.value()) : std::nullopt;
}

void CallerSession::FinishResponse() {
  this->request.reset();
  this->silence_end.reset();
  // A head sent before draining began did not announce the close, so the
  // connection stays open for another request.
  if (this->close_announced || (this->input_ended && !this->HasPipelined())) {
    this->BeginClosing();
    return;
  }
  this->phase = Phase::kIdle;
  this->waiting_since = EventLoop::Now();
  this->idle_timeout = this->Limits().idle_timeout;
  this->connection_hold.Resize(kConnectionBytes);
  this->connection->SetReading(this->MayServeNext());
  this->ServePipelined();
}

void CallerSession::KeepPipelined(std::string_view bytes) {
  if (!bytes.empty() && !this->pipelined_refused) {
    this->pipelined_refused = !this->pipelined_hold.Resize(kMaxPipelinedBytes);
    if (!this->pipelined_refused) {
      this->pipelined_bytes.reserve(kMaxPipelinedBytes);
      this->pipelined_bytes.append(bytes);
    }
  }
  if (this->pipelined_bytes.size() >= kMaxPipelinedBytes) {
    this->connection->SetReading(false);
    this->RaiseReceiveBuffer(kRaisedReceiveBufferBytes);
  }
  this->LimitReads();
}

std::string CallerSession::TakePipelined() {
  this->pipelined_hold.Resize(0);
  return std::exchange(this->pipelined_bytes, {});
}

bool CallerSession::HasPipelined() const {
  return !this->pipelined_bytes.empty() || this->pipelined_refused;
}

void CallerSession::LimitReads() {
  // What a read may hold of the present request's body.
  std::size_t body_bytes = 0;
  if (this->phase == Phase::kReading && this->parser->head_done()) {
    const std::size_t length = this->parser->content_length().value_or(0);
    body_bytes = length - std::min(length, this->parser->body_bytes());
  }
  this->connection->LimitReads(body_bytes + kMaxPipelinedBytes -
                               this->pipelined_bytes.size());
}

bool CallerSession::MayServeNext() const {
  return this->host_ends || this->connection->unsent() <= kMaxQueuedAnswerBytes;
}

void CallerSession::ServePipelined() {
  if (this->serving_pipelined) {
    return;
  }
  this->serving_pipelined = true;
  const ResetOnExit reset{this->serving_pipelined};
  while (this->phase == Phase::kIdle && !this->pipelined_bytes.empty() &&
         this->MayServeNext()) {
    this->OnData(this->TakePipelined());
  }
  if (this->pipelined_refused && this->phase == Phase::kIdle &&
      this->MayServeNext()) {
    this->pipelined_refused = false;
    this->RefuseInput(503, "no memory for the request", kMinMemoryRetryAfter);
  }
  if (this->input_ended && this->phase == Phase::kReading) {
    // The rest of the request cannot arrive.
    this->BeginClosing();
  }
}

void CallerSession::BeginClosing() {
  this->ReleaseInput();
  this->phase = Phase::kClosing;
  this->closing_since = EventLoop::Now();
  this->waiting_since = this->closing_since;
  this->TakePipelined();
  this->LimitReads();
  this->connection->SetReading(true);
  this->connection->FinishWriting();
}

bool CallerSession::ReserveAnswer(std::size_t bytes) {
  return this->answer_hold.Resize(bytes <= kSmallAnswerBytes ? 0 : bytes);
}

void CallerSession::OnOutputDrained() {
  this->ReserveAnswer(0);
  if (this->phase == Phase::kClosing) {
    this->closing_since = EventLoop::Now();
    this->waiting_since = this->closing_since;
  }
  // The call may finish the request, which resets `this->request`.
  if (const auto active_request = this->request) {
    active_request->OnOutputDrained();
  }
  if (this->phase == Phase::kIdle) {
    this->connection->SetReading(true);
    this->ServePipelined();
  }
}

bool CallerSession::OnInputEnd() {
  this->input_ended = true;
  if (this->connection->unsent() > 0) {
    // What is on its way shows whether the caller still reads.
    if (this->phase == Phase::kIdle) {
      this->BeginClosing();
    }
    return this->phase != Phase::kReading;
  }
  return this->MayStillRead();
}

bool CallerSession::MayStillRead() {
  if (this->phase != Phase::kResponding || this->is_http_1_0) {
    return false;
  }
  if (this->response_begun) {
    this->silence_end = EventLoop::Now() + kHalfCloseSilence;
    return true;
  }
  this->probes_left = kCallerProbes;
  this->ProbeCaller();
  return true;
}

void CallerSession::CheckUnreadCaller() {
  const bool reads =
      !this->input_ended && this->pipelined_bytes.size() < kMaxPipelinedBytes;
  if (reads) {
    return;
  }
  const PeerState peer = this->connection->peer_state();
  if (peer == PeerState::kReset) {
    this->OnEnd(ConnectionEnd::kReset);
    return;
  }
  // What is on its way shows whether the caller still reads.
  if (peer == PeerState::kSends || this->input_ended ||
      this->connection->unsent() > 0 ||
      std::exchange(this->input_end_seen, true)) {
    return;
  }
  if (!this->MayStillRead()) {
    this->OnEnd(ConnectionEnd::kOrderly);
  }
}

void CallerSession::ProbeCaller() {
  if (this->probes_left > 0 && !this->response_begun) {
    --this->probes_left;
    this->connection->Write(kInterimResponse);
  }
}

void CallerSession::OnEnd(ConnectionEnd end) {
  const bool reset = end == ConnectionEnd::kReset;
  this->LogLoss(reset);
  if (this->request != nullptr) {
    const auto cancelled_request = std::move(this->request);
    cancelled_request->Cancel(
        reset ? "the caller's connection was reset"
              : "the caller closed the connection, or its sending side");
  }
  this->Close();
}

void CallerSession::LogLoss(bool reset) const {
  const auto session = static_cast<std::int64_t>(this->number);
  if (this->phase == Phase::kReading) {
    const std::optional<RequestMetadata> metadata = this->ArrivedMetadata();
    const std::string request = metadata ? metadata->request_id : "";
    LogJsonNow("input_dropped", {{"session", session},
                                 {"request", std::string_view(request)},
                                 {"reset", reset}});
  } else if (this->phase != Phase::kResponding &&
             this->connection->unsent() > 0) {
    LogJsonNow("answer_dropped",
               {{"session", session},
                {"unsent_bytes",
                 static_cast<std::int64_t>(this->connection->unsent())},
                {"reset", reset}});
  }
}

void CallerSession::Close() {
  if (this->phase == Phase::kClosed) {
    return;
  }
  this->phase = Phase::kClosed;
  this->ReleaseInput();
  this->start_timer.reset();
  this->request.reset();
  this->connection.reset();
  this->connection_hold = MemoryHold();
  this->raised_buffer_hold = MemoryHold();
  this->pipelined_hold = MemoryHold();
  this->answer_hold = MemoryHold();
  this->on_closed();
}

bool CallerSession::IsClosed() const {
  return this->phase == Phase::kClosed;
}

HeldMemory CallerSession::held_memory() const {
  HeldMemory held;
  held.input = this->pipelined_bytes.size();
  if (this->parser != nullptr) {
    held.input += this->parser->held_bytes();
  }
  if (this->connection != nullptr) {
    held.to_callers = this->connection->unsent();
    held.unread = this->connection->unread();
  }
  return this->request == nullptr ? held : held + this->request->held_memory();
}

bool CallerSession::HasWork(TimePoint now) const {
  switch (this->phase) {
    case Phase::kReading:
    case Phase::kResponding:
      return true;
    case Phase::kIdle:
      return this->connection->unsent() > 0 ||
             now - this->waiting_since <= kRequestInFlightTime;
    case Phase::kClosing:
    case Phase::kClosed:
      break;
  }
  return false;
}

void CallerSession::CloseIfIdle() {
  if (this->phase != Phase::kIdle) {
    return;
  }
  this->connection->ReadPending();
  if (this->phase == Phase::kIdle && this->HasPipelined()) {
    this->RefuseInput(503, "the caller does not read its answers",
                      kShortRetryAfter);
  } else if (this->phase == Phase::kIdle) {
    this->BeginClosing();
  }
}

void CallerSession::ReadArrived() {
  while (this->phase == Phase::kReading && this->connection->ReadPending()) {
  }
}

void CallerSession::GiveLastAnswer(TimePoint now) {
  this->host_ends = true;
  if (const auto active_request = this->request) {
    active_request->EndIfOverdue(now);
  }
  this->ServePipelined();
  this->ReadArrived();
  this->CloseIfIdle();
  this->ReadArrived();
  if (this->phase == Phase::kReading) {
    this->RefuseInput(503, "the host stops before the request has arrived",
                      Duration(0));
  }
}

void CallerSession::StartDraining(TimePoint now) {
  this->draining = true;
  if (this->request != nullptr) {
    this->request->LimitToStop(now);
  }
}

void CallerSession::RefuseRequests() {
  this->refuses_requests = true;
}

bool CallerSession::IsRefusing() const {
  return this->refuses_requests;
}

void CallerSession::Abort(std::string_view reason) {
  if (this->request != nullptr) {
    const auto cancelled_request = std::move(this->request);
    cancelled_request->Cancel(reason);
  }
  this->Close();
}

Duration CallerSession::FindPatience() const {
  const auto& traffic = this->context.view.traffic;
  const RequestHead& head = this->parser->head();
  const Route* const route =
      traffic == nullptr
          ? nullptr
          : FindRoute(*traffic, FindHeader(head.headers, "Host"), head.target);
  const Duration longest =
      route == nullptr ? this->Limits().idle_timeout : route->timeout;
  const std::optional<RequestMetadata> metadata = this->ArrivedMetadata();
  return metadata && metadata->deadline ? std::min(*metadata->deadline, longest)
                                        : longest;
}

bool CallerSession::IsInputOverdue(TimePoint now) const {
  if (!this->parser->head_done()) {
    return now - this->waiting_since > this->Limits().header_timeout;
  }
  return now - this->waiting_since > kBodyStallTimeout ||
         (this->body_due && now > *this->body_due);
}

void CallerSession::Sweep(TimePoint now) {
  const Duration waited = now - this->waiting_since;
  switch (this->phase) {
    case Phase::kReading:
      if (this->IsInputOverdue(now)) {
        // It may have arrived while the process did not run.
        this->ReadArrived();
      }
      if (this->phase == Phase::kReading && this->IsInputOverdue(now)) {
        this->RefuseInput(408, "the request did not arrive in time");
      }
      return;
    case Phase::kIdle:
      if (waited >
          (this->refuses_requests
               ? kRequestInFlightTime
               : std::max(this->idle_timeout, this->Limits().idle_timeout) +
                     kIdleMargin)) {
        this->CloseIfIdle();
      }
      return;
    case Phase::kClosing:
      if (this->connection->unsent() == 0 &&
          (waited > kCloseWait || now - this->closing_since > kMaxCloseWait)) {
        this->Close();
      }
      return;
    case Phase::kResponding: {
      if (this->request == nullptr) {
        // An exception has kept the request from being created.
        this->Close();
        return;
      }
      this->ProbeCaller();
      this->CheckUnreadCaller();
      if (this->silence_end && now >= *this->silence_end) {
        this->OnEnd(ConnectionEnd::kOrderly);
      }
      if (this->phase == Phase::kClosed || this->start_timer != nullptr) {
        return;
      }
      // Keeps the request alive: the call may finish it, which resets
      // `this->request`.
      const auto active_request = this->request;
      active_request->Sweep(now);
      return;
    }
    case Phase::kClosed:
      return;
  }
}

}  // namespace toucanhollow
