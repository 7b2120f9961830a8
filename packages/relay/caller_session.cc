#include "relay/caller_session.h"

#include <algorithm>
#include <utility>

#include "http_stream/write_message.h"
#include "json_log/json_log.h"

namespace toucanhollow {
namespace {

// Bytes of pipelined requests that are kept while an answer is on its way.
constexpr std::size_t kMaxEarlyBytes = std::size_t{64} * 1024;
// Callers reuse connections close to the idle limit; closing later than it
// keeps such a request from crossing the close.
constexpr Duration kIdleMargin = Seconds(2);
// Time for the caller to read a last answer and close first. A close with
// unread bytes would reset the connection and lose the answer.
constexpr Duration kCloseWait = Milliseconds(500);
// A caller that has just connected or been answered may have sent a request.
constexpr Duration kFirstBytesWait = Milliseconds(500);
// A body that stops arriving.
constexpr Duration kBodyStall = Seconds(5);

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
  this->connection->SetCallbacks(
      {nullptr, [this](std::string_view bytes) { this->OnData(bytes); },
       [this] {
         if (this->run != nullptr) {
           const auto keep = this->run;
           keep->OnCallerDrained();
         }
       },
       [this](ConnectionEnd) { this->OnEnd(); }});
}

CallerSession::~CallerSession() {
  if (this->run != nullptr) {
    this->run->Cancel("the session ended");
  }
}

const IngressLimits& CallerSession::Limits() const {
  static const IngressLimits before_configuration;
  const auto& traffic = this->context.belief.traffic;
  return traffic == nullptr ? before_configuration : traffic->limits;
}

void CallerSession::OnData(std::string_view bytes) {
  switch (this->phase) {
    case Phase::kClosing:
    case Phase::kClosed:
      return;
    case Phase::kAnswering:
      this->early.append(bytes);
      if (this->early.size() > kMaxEarlyBytes) {
        this->connection->SetReading(false);
      }
      return;
    case Phase::kIdle:
      this->phase = Phase::kReading;
      this->waiting_since = EventLoop::Now();
      this->continue_sent = false;
      this->parser = std::make_unique<RequestParser>(
          ParserLimits{this->Limits().header_bytes, this->Limits().body_bytes});
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
  }
  if (this->parser->done()) {
    this->StartRun();
    return;
  }
  if (this->parser->head_done() && !this->continue_sent &&
      IsSameHeaderName(FindHeader(this->parser->head().headers, "Expect"),
                       "100-continue")) {
    this->continue_sent = true;
    this->connection->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void CallerSession::StartRun() {
  this->phase = Phase::kAnswering;
  this->early = this->parser->TakeUnparsedBytes();
  RequestHead head = this->parser->head();
  this->caller_keeps_alive = head.keep_alive;
  this->head_request = head.method == "HEAD";
  CallerSink sink;
  sink.answer = [this](int status, std::string_view reason, HttpHeaders headers,
                       const std::string& body) {
    // A response to HEAD announces the length that GET would have.
    const std::string length(FindHeader(headers, "Content-Length"));
    const bool keep_length = this->head_request && !length.empty();
    this->SendHead(status, reason, std::move(headers),
                   keep_length ? length : std::to_string(body.size()));
    this->connection->Write(body);
    this->FinishAnswer();
  };
  sink.begin = [this](int status, std::string_view reason,
                      HttpHeaders headers) {
    this->SendHead(status, reason, std::move(headers), "");
  };
  sink.piece = [this](std::string_view bytes) {
    this->connection->Write(WriteChunk(bytes));
  };
  sink.end = [this] {
    this->connection->Write(LastChunk());
    this->FinishAnswer();
  };
  sink.abort = [this] { this->Close(); };
  sink.unsent = [this] { return this->connection->unsent(); };
  ++this->runs;
  constexpr std::uint64_t kRunsPerSession = 1U << 20U;
  this->run = std::make_shared<RelayRun>(
      this->context, this->number * kRunsPerSession + this->runs,
      std::move(head), this->parser->TakeBody(), EventLoop::Now(),
      std::move(sink));
  const auto keep = this->run;
  keep->Start();
}

// `framing` is the length of the body, or empty for chunks.
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
  if (this->leaving || !this->caller_keeps_alive) {
    this->close_announced = true;
    headers.push_back({"Connection", "close"});
  }
  this->connection->Write(WriteResponseHead(status, reason, headers));
}

void CallerSession::RefuseInput(int status, std::string_view why) {
  LogJsonNow("input_refused",
             {{"session", static_cast<std::int64_t>(this->number)},
              {"status", static_cast<std::int64_t>(status)},
              {"why", why}});
  this->context.metrics.Count("input_refused_total",
                              "status=\"" + std::to_string(status) + "\"");
  this->leaving = true;
  this->SendHead(status, "", {}, "0");
  this->BeginClosing();
}

void CallerSession::FinishAnswer() {
  this->run.reset();
  // A head that left before the process began to stop promised more answers.
  if (this->close_announced) {
    this->BeginClosing();
    return;
  }
  this->phase = Phase::kIdle;
  this->waiting_since = EventLoop::Now();
  this->idle_timeout = this->Limits().idle_timeout;
  this->parser.reset();
  this->connection->SetReading(true);
  if (!this->early.empty()) {
    const std::string bytes = std::exchange(this->early, {});
    this->OnData(bytes);
  }
}

void CallerSession::BeginClosing() {
  this->phase = Phase::kClosing;
  this->waiting_since = EventLoop::Now();
  this->connection->SetReading(true);
}

void CallerSession::OnEnd() {
  if (this->run != nullptr) {
    const auto left = std::move(this->run);
    left->Cancel("the caller closed the connection");
  }
  this->Close();
}

void CallerSession::Close() {
  if (this->phase == Phase::kClosed) {
    return;
  }
  this->phase = Phase::kClosed;
  this->run.reset();
  this->connection.reset();
  this->on_closed();
}

bool CallerSession::IsSettled(TimePoint now) const {
  return this->phase == Phase::kClosed ||
         (this->phase == Phase::kIdle && this->connection->unsent() == 0 &&
          now - this->waiting_since > kFirstBytesWait);
}

void CallerSession::Leave() {
  this->leaving = true;
}

void CallerSession::Cut(std::string_view reason) {
  if (this->run != nullptr) {
    const auto left = std::move(this->run);
    left->Cancel(reason);
  }
  this->Close();
}

void CallerSession::Sweep(TimePoint now) {
  const Duration waited = now - this->waiting_since;
  switch (this->phase) {
    case Phase::kReading:
      if (!this->parser->head_done() ? waited > this->Limits().header_timeout
                                     : waited > kBodyStall) {
        this->RefuseInput(408, "the request did not arrive in time");
      }
      return;
    case Phase::kIdle:
      if (waited > std::max(this->idle_timeout, this->Limits().idle_timeout) +
                       kIdleMargin) {
        this->Close();
      }
      return;
    case Phase::kClosing:
      if (waited > kCloseWait && this->connection->unsent() == 0) {
        this->Close();
      }
      return;
    case Phase::kAnswering: {
      // The run may end, and with it this session's phase.
      const auto keep = this->run;
      keep->Sweep(now);
      return;
    }
    case Phase::kClosed:
      return;
  }
}

}  // namespace toucanhollow
