#include "relay/server_attempt.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "http_stream/write_message.h"

namespace toucanhollow {
namespace {

// Longer time-outs of a server count as this one, in seconds.
constexpr std::int64_t kMaxKeepAliveS = 24 * 3600;

// The time-out in a header like "Keep-Alive: timeout=5"; zero if it has none.
Duration ParseKeepAliveTimeout(const HttpHeaders& headers) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view value = FindHeader(headers, "Keep-Alive");
  const std::size_t begin = value.find(kTimeout);
  if (begin == std::string_view::npos) {
    return Duration(0);
  }
  std::string_view digits = value.substr(begin + kTimeout.size());
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  return Seconds(std::min(ParseDecimal(digits).value_or(0), kMaxKeepAliveS));
}

// Responses to earlier requests are skipped up to this size in all, heads and
// framing included. One that does not end, or one after another, would
// otherwise block the request until its deadline.
constexpr std::size_t kMaxStrayBytes = std::size_t{256} * 1024;

// A body up to this size is copied behind the head, to be sent with it.
constexpr std::size_t kMaxJoinedBytes = std::size_t{16} * 1024;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

}  // namespace

struct ServerAttempt::State : std::enable_shared_from_this<State> {
  const RelayCodec& codec;
  std::unique_ptr<TcpConnection> connection;
  // What is not written yet; the body may be null.
  std::string request;
  std::shared_ptr<const std::string> body;
  std::optional<BootTime> write_by;
  std::string request_id;
  bool body_expected;
  bool reused = false;
  bool written = false;
  AttemptCallbacks callbacks;
  std::unique_ptr<ResponseParser> parser;
  bool head_seen = false;
  // The response being read belongs to an earlier request.
  bool stray = false;
  bool any_stray = false;
  // What was received before the head of this request's response.
  std::size_t skipped_bytes = 0;
  bool ended = false;
  bool reusable = false;
  Duration keep_alive_timeout{0};

  State(const RelayCodec& codec,
        std::string request,
        std::string request_id,
        bool body_expected)
      : codec(codec),
        request(std::move(request)),
        request_id(std::move(request_id)),
        body_expected(body_expected),
        parser(std::make_unique<ResponseParser>(body_expected)) {}

  void WriteRequest();
  bool EndIfWithheld();
  void OnData(std::string_view bytes);
  void OnConnectionEnd(ConnectionEnd end);
  bool Advance();
  bool ProcessHead();
  void Finish();
  void End(AttemptEnd end, std::string_view detail);
  // Resets the connection of an abandoned attempt, so that a request which is
  // still in flight, for example to a frozen host, does not arrive later.
  void DropConnection();
};

void ServerAttempt::State::DropConnection() {
  if (this->connection != nullptr) {
    this->connection->ResetOnClose();
    this->connection.reset();
  }
}

void ServerAttempt::State::End(AttemptEnd end, std::string_view detail) {
  if (std::exchange(this->ended, true)) {
    return;
  }
  if (end != AttemptEnd::kComplete) {
    this->DropConnection();
  } else if (!this->reusable) {
    this->connection.reset();
  }
  const auto callback = std::move(this->callbacks.on_end);
  this->callbacks = {};
  if (callback) {
    callback(end, detail);
  }
}

void ServerAttempt::State::WriteRequest() {
  const auto self = this->shared_from_this();
  if (this->write_by && EventLoop::BootNow() > *this->write_by) {
    this->End(AttemptEnd::kNotSent,
              "the permit expired before the connection was established");
    return;
  }
  if (this->EndIfWithheld()) {
    return;
  }
  this->written = true;
  std::string bytes = std::exchange(this->request, {});
  const auto body = std::exchange(this->body, nullptr);
  if (body == nullptr || body->size() > kMaxJoinedBytes) {
    this->connection->Write(bytes);
    if (body != nullptr) {
      this->connection->Write(body);
    }
  } else {
    bytes += *body;
    this->connection->Write(bytes);
  }
  const auto callback = std::move(this->callbacks.on_sent);
  if (callback) {
    callback();
  }
}

bool ServerAttempt::State::EndIfWithheld() {
  if (this->callbacks.check_write == nullptr) {
    return false;
  }
  const std::string_view why = this->callbacks.check_write();
  if (why.empty()) {
    return false;
  }
  this->End(AttemptEnd::kWithheld, why);
  return true;
}

void ServerAttempt::State::OnData(std::string_view bytes) {
  const auto self = this->shared_from_this();
  this->parser->Feed(bytes);
  while (!this->ended && this->Advance()) {
  }
  if (this->ended || (this->head_seen && !this->stray)) {
    return;
  }
  this->skipped_bytes += bytes.size();
  if (this->skipped_bytes > kMaxStrayBytes) {
    this->End(AttemptEnd::kBroken,
              "responses to other requests exceeded the size limit");
  }
}

// Handles the parser's new output. Returns true if a stray response was skipped
// and bytes of the next one are there to be read.
bool ServerAttempt::State::Advance() {
  if (this->parser->head_done() && !this->head_seen && !this->ProcessHead()) {
    return false;
  }
  if (this->parser->problem() != ParseProblem::kNone) {
    this->End(this->head_seen && !this->stray ? AttemptEnd::kTruncated
                                              : AttemptEnd::kBroken,
              "the server sent a malformed HTTP response");
    return false;
  }
  const std::string body = this->parser->TakeBody();
  if (!this->stray && !body.empty()) {
    const auto callback = this->callbacks.on_body;
    callback(body);
    if (this->ended) {
      return false;
    }
  }
  if (!this->parser->done()) {
    return false;
  }
  if (!this->stray) {
    this->Finish();
    return false;
  }
  const std::string rest = this->parser->TakeUnparsedBytes();
  this->parser = std::make_unique<ResponseParser>(this->body_expected);
  this->head_seen = false;
  this->stray = false;
  this->parser->Feed(rest);
  return !rest.empty();
}

// Returns false if the attempt has ended.
bool ServerAttempt::State::ProcessHead() {
  this->head_seen = true;
  const ResponseHead& head = this->parser->head();
  const ResponseMetadata metadata = this->codec.read_response(head);
  if (!metadata.request_id.empty() && metadata.request_id != this->request_id) {
    this->stray = true;
    this->any_stray = true;
    return true;
  }
  if (metadata.request_id.empty() && this->reused) {
    // It may be a late response to an earlier request, so neither its status
    // nor its statement that the request did not run can be applied to this
    // one.
    this->End(AttemptEnd::kBroken,
              "the response on a reused connection has no request id");
    return false;
  }
  const bool unmarked =
      metadata.request_id.empty() || !metadata.sealed || metadata.encoded;
  if (IsSuccess(head.status) && unmarked) {
    this->End(AttemptEnd::kBroken,
              "a successful response lacks the request id or the seal, or its "
              "body is "
              "encoded");
    return false;
  }
  this->keep_alive_timeout = ParseKeepAliveTimeout(head.headers);
  const auto callback = this->callbacks.on_head;
  callback(head, metadata);
  return !this->ended;
}

void ServerAttempt::State::Finish() {
  const bool extra = !this->parser->TakeUnparsedBytes().empty();
  this->reusable = this->connection != nullptr &&
                   this->parser->head().keep_alive &&
                   !this->parser->head().ends_with_connection && !extra &&
                   !this->any_stray && this->connection->unsent() == 0;
  this->End(AttemptEnd::kComplete, "");
}

void ServerAttempt::State::OnConnectionEnd(ConnectionEnd end) {
  const auto self = this->shared_from_this();
  if (end == ConnectionEnd::kNotConnected || !this->connection->any_sent()) {
    this->End(AttemptEnd::kNotSent, "no connection to the server");
    return;
  }
  if (end == ConnectionEnd::kOrderly) {
    this->parser->FeedEndOfStream();
    while (!this->ended && this->Advance()) {
    }
  }
  this->End(this->head_seen && !this->stray ? AttemptEnd::kTruncated
                                            : AttemptEnd::kBroken,
            end == ConnectionEnd::kOrderly
                ? "the server closed the connection"
                : "the connection to the server was reset");
}

ServerAttempt::ServerAttempt(std::unique_ptr<TcpConnection> connection,
                             bool reused,
                             const RelayCodec& codec,
                             std::string bytes,
                             std::string request_id,
                             bool body_expected,
                             AttemptCallbacks callbacks)
    : state(std::make_shared<State>(codec,
                                    std::move(bytes),
                                    std::move(request_id),
                                    body_expected)) {
  State& state = *this->state;
  state.callbacks = std::move(callbacks);
  state.connection = std::move(connection);
  state.reused = reused;
  State* raw_state = &state;
  state.connection->SetCallbacks(
      {[raw_state] { raw_state->WriteRequest(); },
       [raw_state](std::string_view data) { raw_state->OnData(data); }, nullptr,
       [raw_state](ConnectionEnd end) { raw_state->OnConnectionEnd(end); }});
}

void ServerAttempt::SetBody(std::shared_ptr<const std::string> body) {
  this->state->body = std::move(body);
}

void ServerAttempt::Start(std::optional<BootTime> write_by) {
  this->state->write_by = write_by;
  if (this->state->connection->connected()) {
    this->state->WriteRequest();
  }
}

void ServerAttempt::CheckUnwritten() {
  const auto live_state = this->state;
  if (!live_state->written && !live_state->ended) {
    live_state->EndIfWithheld();
  }
}

ServerAttempt::~ServerAttempt() {
  this->state->ended = true;
  this->state->callbacks = {};
  this->state->DropConnection();
}

bool ServerAttempt::any_sent() const {
  return this->state->connection == nullptr ||
         this->state->connection->any_sent();
}

void ServerAttempt::SetReading(bool reading) {
  if (this->state->connection != nullptr) {
    this->state->connection->SetReading(reading);
  }
}

HeldMemory ServerAttempt::held_memory() const {
  const State& state = *this->state;
  HeldMemory held;
  held.to_servers = state.request.size();
  held.answers = state.parser->held_bytes();
  if (state.connection != nullptr) {
    held.to_servers += state.connection->unsent();
    held.unread = state.connection->unread();
  }
  return held;
}

bool ServerAttempt::ReadPending() {
  const auto live_state = this->state;
  return live_state->connection != nullptr &&
         live_state->connection->ReadPending();
}

std::unique_ptr<TcpConnection> ServerAttempt::TakeConnection() {
  if (!this->state->reusable) {
    return nullptr;
  }
  return std::move(this->state->connection);
}

Duration ServerAttempt::server_keep_alive_timeout() const {
  return this->state->keep_alive_timeout;
}

}  // namespace toucanhollow
