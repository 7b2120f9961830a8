#include "http_server/http_server.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <microhttpd.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <limits>
#include <optional>
#include <unordered_map>
#include <utility>

#include "base/check.h"
#include "http_message/body_framing.h"
#include "http_server/http_exchange.h"
#include "http_stream/tcp_connection.h"

namespace toucanhollow {
namespace {

using detail::HttpExchange;

// Limits how much of an oversized body is read and discarded so that the caller
// can receive status 413. After that the connection is closed.
constexpr std::size_t kMaxDiscardedBodyBytes = std::size_t{16} * 1024 * 1024;
constexpr Duration kTimeoutCheckInterval = Seconds(1);
// Without a free descriptor libmicrohttpd tries to accept again and again, so
// it does not run for this long after it could not.
constexpr Duration kAcceptPause = Milliseconds(50);
// libmicrohttpd keeps the raw header, the parsed header and the write buffer in
// one memory pool per connection.
constexpr std::size_t kPoolBytesBesideHeader = std::size_t{16} * 1024;
constexpr std::size_t kMaxReadBlockBytes = std::size_t{8} * 1024;

struct Connection {
  int file_descriptor = -1;
  // When the connection opened or the previous request completed.
  TimePoint idle_since;
  // When the complete request header arrived; empty once the request is
  // complete.
  std::optional<TimePoint> reading_since;
  bool closing = false;
  bool in_request = false;
};

// Per-request state that libmicrohttpd passes to each callback.
struct MhdRequest {
  std::shared_ptr<HttpExchange> exchange;
  MHD_Connection* mhd = nullptr;
  Connection* connection = nullptr;
  std::uint64_t id = 0;
};

std::string_view GetErrorText(int status) {
  switch (status) {
    case 400:
      return "malformed request\n";
    case 408:
      return "request not received in time\n";
    case 413:
      return "body too large\n";
    case 431:
      return "header too large\n";
    case 501:
      return "unknown transfer coding\n";
    default:
      return "error\n";
  }
}

MHD_Result CollectHeader(void* context,
                         MHD_ValueKind,
                         const char* name,
                         const char* value) {
  static_cast<HttpHeaders*>(context)->push_back(
      {name, value == nullptr ? "" : value});
  return MHD_YES;
}

std::size_t CountHeaderBytes(const HttpRequest& request) {
  std::size_t bytes = request.path.size() + request.query.size();
  for (const HttpHeader& header : request.headers) {
    bytes += header.name.size() + header.value.size() + 4;
  }
  return bytes;
}

// libmicrohttpd takes "Content-Length : 3" for a header of another name, puts a
// folded line into the name of its header, and keeps bare carriage returns.
bool IsUnclearLine(const HttpHeader& header) {
  return header.name.find_first_of(" \t:") != std::string::npos ||
         header.value.find('\r') != std::string::npos;
}

// libmicrohttpd takes "chunked " for an unknown coding, whose body it reads
// until the connection ends.
bool EndsWithSpace(std::string_view value) {
  return value.ends_with(' ') || value.ends_with('\t');
}

// Returns the status that refuses a request whose body has no clear end.
std::optional<int> FindFramingError(const HttpHeaders& headers,
                                    std::string_view version) {
  if (std::ranges::any_of(headers, IsUnclearLine) ||
      EndsWithSpace(FindHeader(headers, "Transfer-Encoding"))) {
    return 400;
  }
  switch (CheckRequestFraming(headers, version != MHD_HTTP_VERSION_1_1)) {
    case BodyFraming::kClear:
      break;
    case BodyFraming::kUnknownCoding:
      return 501;
    case BodyFraming::kAmbiguous:
      return 400;
  }
  return std::nullopt;
}

void AddHeaders(MHD_Response* response,
                const HttpHeaders& headers,
                bool close_connection) {
  for (const HttpHeader& header : headers) {
    MHD_add_response_header(response, header.name.c_str(),
                            header.value.c_str());
  }
  if (close_connection) {
    MHD_add_response_header(response, "Connection", "close");
  }
}

// Returns the content type and body of an error response that the server itself
// sends.
std::pair<std::string, std::string> MakeErrorContent(
    const HttpServerOptions& options,
    int status) {
  if (options.error_body) {
    return {"application/json", options.error_body(status)};
  }
  return {"text/plain", std::string(GetErrorText(status))};
}

MHD_Result QueueError(MHD_Connection* mhd,
                      const HttpServerOptions& options,
                      int status) {
  auto [type, body] = MakeErrorContent(options, status);
  MHD_Response* response = MHD_create_response_from_buffer(
      body.size(), body.data(), MHD_RESPMEM_MUST_COPY);
  AddHeaders(response, {{"Content-Type", type}}, true);
  const MHD_Result result =
      MHD_queue_response(mhd, static_cast<unsigned int>(status), response);
  MHD_destroy_response(response);
  return result;
}

ssize_t ReadBlock(void* context, std::uint64_t, char* target, std::size_t max) {
  auto* mhd_request = static_cast<MhdRequest*>(context);
  HttpExchange& exchange = *mhd_request->exchange;
  if (exchange.aborted) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  const std::size_t ready = exchange.buffer.size() - exchange.consumed_bytes;
  if (ready == 0) {
    if (exchange.ended) {
      return MHD_CONTENT_READER_END_OF_STREAM;
    }
    exchange.suspended = true;
    MHD_suspend_connection(mhd_request->mhd);
    return 0;
  }
  const std::size_t count = std::min(ready, max);
  std::copy_n(exchange.buffer.data() + exchange.consumed_bytes, count, target);
  exchange.consumed_bytes += count;
  if (exchange.consumed_bytes == exchange.buffer.size()) {
    exchange.buffer.clear();
    exchange.consumed_bytes = 0;
  }
  return static_cast<ssize_t>(count);
}

// Writes directly to the socket, because libmicrohttpd cannot respond to an
// incomplete request. No part of a response is pending on the connection then.
void SendRequestTimeout(const HttpServerOptions& options, int file_descriptor) {
  const auto [type, body] = MakeErrorContent(options, 408);
  const std::string response =
      "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Type: " +
      type + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
      body;
  [[maybe_unused]] const ssize_t sent =
      send(file_descriptor, response.data(), response.size(),
           MSG_DONTWAIT | MSG_NOSIGNAL);
}

int ChooseBacklog(const HttpServerOptions& options) {
  return static_cast<int>(
      std::min(std::max(options.max_connections, kMinBacklog),
               static_cast<unsigned int>(std::numeric_limits<int>::max())));
}

}  // namespace

struct HttpServer::Core {
  Core(EventLoop& loop, HttpServerOptions options, HttpHandler handler)
      : loop(loop), options(std::move(options)), handler(std::move(handler)) {}

  EventLoop& loop;
  HttpServerOptions options;
  HttpHandler handler;
  MHD_Daemon* daemon = nullptr;
  // Of libmicrohttpd; -1 once the server has stopped accepting.
  int listener = -1;
  // Number of connections and parts of requests that libmicrohttpd has
  // reported.
  std::uint64_t reported_events = 0;
  // Detects that a caller closes a connection that is suspended, which
  // libmicrohttpd does not notice.
  int hangup_epoll = -1;
  std::uint16_t port = 0;
  bool stopped_accepting = false;
  bool daemon_run_posted = false;
  std::uint64_t next_request_id = 1;
  std::unordered_map<std::uint64_t, MhdRequest*> mhd_requests;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> connections;
  std::unique_ptr<IoWatcher> watcher;
  std::unique_ptr<IoWatcher> hangup_watcher;
  std::unique_ptr<Timer> timeout_check_timer;
  std::unique_ptr<Timer> daemon_timer;
  std::unique_ptr<Timer> resume_timer;
  // Posted callbacks may outlive the server. They hold a weak pointer to this
  // flag and do nothing once it has expired.
  std::shared_ptr<int> alive_flag = std::make_shared<int>(0);

  ~Core();
  void OnReadable();
  // True if a connection waits to be accepted and the process has no free
  // descriptor.
  bool LacksDescriptor() const;
  void RunDaemon();
  void PostDaemonRun();
  void ResumeRequest(std::uint64_t request_id);
  void CloseTimedOutConnections();
  void CloseLongestIdle();
  void HandleHangups();
  Connection* AddConnection(MHD_Connection* mhd);
  // Accepts connections in the backlog itself. libmicrohttpd does not accept
  // any once a descriptor was lacking, until one of its connections has closed.
  void AcceptPending(int listener, std::size_t max_count);
  MhdRequest* AddMhdRequest(MHD_Connection* mhd, const char* uri);
  MHD_Result OnRequestPart(MhdRequest* mhd_request,
                           const char* url,
                           const char* method,
                           const char* version,
                           const char* data,
                           std::size_t* size);
  MHD_Result OnCompleteRequest(MhdRequest* mhd_request);
  MHD_Result QueueResponse(MhdRequest* mhd_request) const;
  void OnCompleted(MhdRequest* mhd_request, MHD_RequestTerminationCode code);

  static Core* FromContext(void* context) {
    return static_cast<Core*>(context);
  }
};

HttpServer::Core::~Core() {
  this->alive_flag.reset();
  this->daemon_timer.reset();
  this->resume_timer.reset();
  this->timeout_check_timer.reset();
  this->watcher.reset();
  this->hangup_watcher.reset();
  if (this->daemon != nullptr) {
    // Requests that have arrived are still read by MHD_run.
    this->handler = nullptr;
    // MHD_stop_daemon requires that no connection is suspended.
    for (const auto& [id, mhd_request] : this->mhd_requests) {
      mhd_request->exchange->aborted = true;
      mhd_request->exchange->on_caller_disconnected = nullptr;
      if (std::exchange(mhd_request->exchange->suspended, false)) {
        MHD_resume_connection(mhd_request->mhd);
      }
    }
    MHD_run(this->daemon);
    MHD_stop_daemon(this->daemon);
  }
  if (this->hangup_epoll >= 0) {
    close(this->hangup_epoll);
  }
}

void HttpServer::Core::OnReadable() {
  const std::uint64_t events_before = this->reported_events;
  this->RunDaemon();
  if (this->reported_events == events_before && this->LacksDescriptor()) {
    this->watcher->SetInterest(IoWatcher::kNone);
    this->resume_timer = std::make_unique<Timer>(
        this->loop, kAcceptPause, Duration(0),
        [this] { this->watcher->SetInterest(IoWatcher::kRead); });
  }
}

bool HttpServer::Core::LacksDescriptor() const {
  pollfd polled{this->listener, POLLIN, 0};
  if (this->listener < 0 || poll(&polled, 1, 0) <= 0) {
    return false;
  }
  const int free_descriptor = fcntl(this->listener, F_DUPFD_CLOEXEC, 0);
  if (free_descriptor < 0) {
    return true;
  }
  close(free_descriptor);
  return false;
}

void HttpServer::Core::RunDaemon() {
  MHD_run(this->daemon);
  this->daemon_timer.reset();
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
  if (MHD_get_timeout(this->daemon, &timeout_ms) == MHD_YES &&
      Milliseconds(static_cast<std::int64_t>(timeout_ms)) <
          kTimeoutCheckInterval) {
    this->daemon_timer = std::make_unique<Timer>(
        this->loop, Milliseconds(static_cast<std::int64_t>(timeout_ms)),
        Duration(0), [this] { this->RunDaemon(); });
  }
}

// Posts at most one run per loop iteration, which serves all its writes.
void HttpServer::Core::PostDaemonRun() {
  if (std::exchange(this->daemon_run_posted, true)) {
    return;
  }
  Post(this->loop, [this, token = std::weak_ptr<int>(this->alive_flag)] {
    if (!token.expired()) {
      this->daemon_run_posted = false;
      this->RunDaemon();
    }
  });
}

void HttpServer::Core::ResumeRequest(std::uint64_t request_id) {
  const auto found = this->mhd_requests.find(request_id);
  if (found == this->mhd_requests.end()) {
    return;
  }
  if (std::exchange(found->second->exchange->suspended, false)) {
    MHD_resume_connection(found->second->mhd);
    this->PostDaemonRun();
  }
}

void HttpServer::Core::CloseTimedOutConnections() {
  const TimePoint now = EventLoop::Now();
  for (const auto& [key, connection] : this->connections) {
    if (connection->closing) {
      continue;
    }
    const bool request_timed_out =
        connection->reading_since.has_value() &&
        now - *connection->reading_since > this->options.request_timeout;
    const bool idle_timed_out =
        !connection->in_request &&
        now - connection->idle_since > this->options.idle_timeout;
    if (request_timed_out) {
      SendRequestTimeout(this->options, connection->file_descriptor);
    }
    if (request_timed_out || idle_timed_out) {
      connection->closing = true;
      // libmicrohttpd then reads the end of the stream and closes the socket.
      shutdown(connection->file_descriptor, SHUT_RDWR);
    }
  }
  const std::size_t open = this->connections.size();
  if (this->listener >= 0 && open > 0 && open < this->options.max_connections) {
    this->AcceptPending(this->listener, this->options.max_connections - open);
  }
  this->RunDaemon();
}

void HttpServer::Core::CloseLongestIdle() {
  Connection* longest = nullptr;
  for (const auto& [key, connection] : this->connections) {
    const bool waits = !connection->in_request || connection->reading_since;
    if (waits && !connection->closing &&
        (longest == nullptr || connection->idle_since < longest->idle_since)) {
      longest = connection.get();
    }
  }
  if (longest != nullptr) {
    longest->closing = true;
    // libmicrohttpd then reads the end of the stream and closes the socket.
    shutdown(longest->file_descriptor, SHUT_RDWR);
    this->PostDaemonRun();
  }
}

void HttpServer::Core::HandleHangups() {
  std::array<epoll_event, 64> events{};
  const int count = epoll_wait(this->hangup_epoll, events.data(),
                               static_cast<int>(events.size()), 0);
  for (int i = 0; i < count; ++i) {
    const auto found = this->mhd_requests.find(events.at(i).data.u64);
    if (found != this->mhd_requests.end()) {
      const std::shared_ptr<HttpExchange> exchange = found->second->exchange;
      exchange->aborted = true;
      exchange->completed = true;
      if (std::exchange(exchange->suspended, false)) {
        MHD_resume_connection(found->second->mhd);
        this->PostDaemonRun();
      }
      if (!exchange->ended && exchange->on_caller_disconnected) {
        std::exchange(exchange->on_caller_disconnected, nullptr)();
      }
    }
  }
}

Connection* HttpServer::Core::AddConnection(MHD_Connection* mhd) {
  ++this->reported_events;
  auto connection = std::make_unique<Connection>();
  connection->file_descriptor =
      MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD)
          ->connect_fd;
  connection->idle_since = EventLoop::Now();
  Connection* key = connection.get();
  this->connections.emplace(key, std::move(connection));
  if (this->options.closes_idle_when_full &&
      this->connections.size() >= this->options.max_connections) {
    this->CloseLongestIdle();
  }
  return key;
}

void HttpServer::Core::AcceptPending(int listener, std::size_t max_count) {
  fcntl(listener, F_SETFL, fcntl(listener, F_GETFL) | O_NONBLOCK);
  for (std::size_t i = 0; i < max_count; ++i) {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    auto* raw = reinterpret_cast<sockaddr*>(&address);
    const int accepted =
        accept4(listener, raw, &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) {
      return;
    }
    // On failure libmicrohttpd closes the socket.
    MHD_add_connection(this->daemon, accepted, raw, size);
  }
}

MhdRequest* HttpServer::Core::AddMhdRequest(MHD_Connection* mhd,
                                            const char* uri) {
  auto new_request = std::make_unique<MhdRequest>();
  MhdRequest* mhd_request = new_request.get();
  mhd_request->mhd = mhd;
  mhd_request->id = this->next_request_id++;
  mhd_request->exchange = std::make_shared<HttpExchange>();
  mhd_request->exchange->resume = [this, id = mhd_request->id] {
    this->ResumeRequest(id);
  };
  const std::string_view text(uri);
  const std::size_t query_mark = text.find('?');
  if (query_mark != std::string_view::npos) {
    mhd_request->exchange->request.query = text.substr(query_mark + 1);
  }
  this->mhd_requests.emplace(mhd_request->id, mhd_request);
  return new_request.release();
}

MHD_Result HttpServer::Core::OnRequestPart(MhdRequest* mhd_request,
                                           const char* url,
                                           const char* method,
                                           const char* version,
                                           const char* data,
                                           std::size_t* size) {
  ++this->reported_events;
  HttpExchange& exchange = *mhd_request->exchange;
  if (mhd_request->connection == nullptr) {
    // This is the first call, made when the header is complete.
    const auto* info = MHD_get_connection_info(
        mhd_request->mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    mhd_request->connection = static_cast<Connection*>(info->socket_context);
    if (mhd_request->connection == nullptr) {
      return MHD_NO;
    }
    mhd_request->connection->in_request = true;
    mhd_request->connection->reading_since = EventLoop::Now();
    exchange.request.method = method;
    exchange.request.path = url;
    MHD_get_connection_values(mhd_request->mhd, MHD_HEADER_KIND, CollectHeader,
                              &exchange.request.headers);
    if (CountHeaderBytes(exchange.request) > this->options.max_header_bytes) {
      return QueueError(mhd_request->mhd, this->options, 431);
    }
    const auto framing_error =
        FindFramingError(exchange.request.headers, version);
    if (framing_error.has_value()) {
      return QueueError(mhd_request->mhd, this->options, *framing_error);
    }
    const auto length =
        ParseDecimal(FindHeader(exchange.request.headers, "Content-Length"));
    if (length.has_value() &&
        *length > static_cast<std::int64_t>(this->options.max_body_bytes)) {
      return QueueError(mhd_request->mhd, this->options, 413);
    }
    return MHD_YES;
  }
  if (*size > 0) {
    std::string& body = exchange.request.body;
    exchange.body_too_large =
        exchange.body_too_large ||
        body.size() + *size > this->options.max_body_bytes;
    if (exchange.body_too_large) {
      exchange.consumed_bytes += *size;
      if (exchange.consumed_bytes > kMaxDiscardedBodyBytes) {
        return MHD_NO;
      }
    } else {
      body.append(data, *size);
    }
    *size = 0;
    return MHD_YES;
  }
  return this->OnCompleteRequest(mhd_request);
}

MHD_Result HttpServer::Core::OnCompleteRequest(MhdRequest* mhd_request) {
  const std::shared_ptr<HttpExchange> exchange = mhd_request->exchange;
  mhd_request->connection->reading_since.reset();
  if (exchange->body_too_large) {
    exchange->consumed_bytes = 0;
    return QueueError(mhd_request->mhd, this->options, 413);
  }
  if (!exchange->handler_called) {
    if (!this->handler) {
      return MHD_NO;
    }
    exchange->handler_called = true;
    epoll_event event{};
    event.events = EPOLLRDHUP | EPOLLONESHOT;
    event.data.u64 = mhd_request->id;
    epoll_ctl(this->hangup_epoll, EPOLL_CTL_ADD,
              mhd_request->connection->file_descriptor, &event);
    const auto writer = std::make_shared<HttpResponseWriter>(exchange);
    const bool handled = RunGuarded(this->loop.raw(), [&] {
      this->handler(std::move(exchange->request), writer);
    });
    if (!handled && !exchange->started) {
      writer->Respond(500, {}, "");
    }
  }
  if (exchange->aborted) {
    return MHD_NO;
  }
  if (!exchange->started) {
    exchange->suspended = true;
    MHD_suspend_connection(mhd_request->mhd);
    return MHD_YES;
  }
  return this->QueueResponse(mhd_request);
}

MHD_Result HttpServer::Core::QueueResponse(MhdRequest* mhd_request) const {
  HttpExchange& exchange = *mhd_request->exchange;
  MHD_Response* response = nullptr;
  if (exchange.ended) {
    response = MHD_create_response_from_buffer(
        exchange.buffer.size(), exchange.buffer.data(), MHD_RESPMEM_MUST_COPY);
    exchange.consumed_bytes = exchange.buffer.size();
  } else {
    response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, kMaxReadBlockBytes, ReadBlock, mhd_request, nullptr);
  }
  InternalCheck(response != nullptr, "libmicrohttpd creates a response");
  AddHeaders(response, exchange.headers, this->stopped_accepting);
  const MHD_Result result = MHD_queue_response(
      mhd_request->mhd, static_cast<unsigned int>(exchange.status), response);
  MHD_destroy_response(response);
  return result;
}

void HttpServer::Core::OnCompleted(MhdRequest* mhd_request,
                                   MHD_RequestTerminationCode code) {
  const std::shared_ptr<HttpExchange> exchange = mhd_request->exchange;
  if (mhd_request->connection != nullptr) {
    epoll_ctl(this->hangup_epoll, EPOLL_CTL_DEL,
              mhd_request->connection->file_descriptor, nullptr);
    mhd_request->connection->in_request = false;
    mhd_request->connection->reading_since.reset();
    mhd_request->connection->idle_since = EventLoop::Now();
  }
  exchange->completed = true;
  this->mhd_requests.erase(mhd_request->id);
  delete mhd_request;
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK &&
      exchange->on_caller_disconnected) {
    std::exchange(exchange->on_caller_disconnected, nullptr)();
  }
}

HttpServer::HttpServer(std::unique_ptr<Core> core) : core(std::move(core)) {}

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::Port() const {
  return this->core->port;
}

std::size_t HttpServer::OpenRequests() const {
  return this->core->mhd_requests.size();
}

std::size_t HttpServer::OpenConnections() const {
  return this->core->connections.size();
}

void HttpServer::StopAccepting() {
  if (std::exchange(this->core->stopped_accepting, true)) {
    return;
  }
  const MHD_socket listener = MHD_quiesce_daemon(this->core->daemon);
  if (listener != MHD_INVALID_SOCKET) {
    this->core->listener = -1;
    // The close of the listening socket would reset them.
    this->core->AcceptPending(listener,
                              std::numeric_limits<std::size_t>::max());
    close(listener);
  }
  for (const auto& [key, connection] : this->core->connections) {
    // The connection stays open if the caller is sending a request.
    char byte = 0;
    const bool unread = recv(connection->file_descriptor, &byte, 1,
                             MSG_PEEK | MSG_DONTWAIT) > 0;
    if (!connection->in_request && !connection->reading_since && !unread) {
      connection->closing = true;
      shutdown(connection->file_descriptor, SHUT_RDWR);
    }
  }
  this->core->PostDaemonRun();
}

Result<std::unique_ptr<HttpServer>> HttpServer::Listen(
    EventLoop& loop,
    HttpServerOptions options,
    HttpHandler handler) {
  in_addr address{};
  if (inet_pton(AF_INET, options.address.c_str(), &address) != 1) {
    return MakeFailure(ResultCode::kSettingsInvalid,
                       "listen address '" + options.address +
                           "' is not an IPv4 address; write it as in 10.0.0.1");
  }
  const Result<int> listening =
      OpenListeningSocket({options.address, options.port},
                          ChooseBacklog(options), options.receive_bytes);
  if (!listening) {
    return MakeFailure(ResultCode::kSettingsInvalid,
                       listening.error().detail + "; choose a free port");
  }
  auto core =
      std::make_unique<Core>(loop, std::move(options), std::move(handler));
  const auto idle_timeout_s = static_cast<unsigned int>(
      std::chrono::ceil<std::chrono::seconds>(core->options.idle_timeout)
          .count());
  core->daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, core->options.port, nullptr,
      nullptr,
      +[](void* context, MHD_Connection*, const char* url, const char* method,
          const char* version, const char* data, std::size_t* size,
          void** mhd_request) {
        Core* core = Core::FromContext(context);
        MHD_Result result = MHD_NO;
        RunGuarded(core->loop.raw(), [&] {
          if (*mhd_request != nullptr) {
            result = core->OnRequestPart(static_cast<MhdRequest*>(*mhd_request),
                                         url, method, version, data, size);
          }
        });
        return result;
      },
      core.get(), MHD_OPTION_LISTEN_SOCKET, listening.value(),
      MHD_OPTION_URI_LOG_CALLBACK,
      +[](void* context, const char* uri, MHD_Connection* mhd) -> void* {
        Core* core = Core::FromContext(context);
        // A request without state is refused when its header is complete.
        MhdRequest* added = nullptr;
        RunGuarded(core->loop.raw(),
                   [&] { added = core->AddMhdRequest(mhd, uri); });
        return added;
      },
      core.get(), MHD_OPTION_NOTIFY_COMPLETED,
      +[](void* context, MHD_Connection*, void** mhd_request,
          MHD_RequestTerminationCode code) {
        if (*mhd_request != nullptr) {
          Core* core = Core::FromContext(context);
          RunGuarded(core->loop.raw(), [&] {
            core->OnCompleted(
                static_cast<MhdRequest*>(std::exchange(*mhd_request, nullptr)),
                code);
          });
        }
      },
      core.get(), MHD_OPTION_NOTIFY_CONNECTION,
      +[](void* context, MHD_Connection* mhd, void** socket_context,
          MHD_ConnectionNotificationCode code) {
        Core* core = Core::FromContext(context);
        if (code == MHD_CONNECTION_NOTIFY_STARTED) {
          RunGuarded(core->loop.raw(),
                     [&] { *socket_context = core->AddConnection(mhd); });
        } else {
          core->connections.erase(static_cast<Connection*>(*socket_context));
        }
      },
      core.get(), MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      std::size_t{2} * core->options.max_header_bytes + kPoolBytesBesideHeader,
      MHD_OPTION_CONNECTION_LIMIT, core->options.max_connections,
      MHD_OPTION_CONNECTION_TIMEOUT, idle_timeout_s, MHD_OPTION_END);
  if (core->daemon == nullptr) {
    return MakeFailure(ResultCode::kSettingsInvalid,
                       "listen address " + core->options.address + ":" +
                           std::to_string(core->options.port) +
                           " cannot be served by libmicrohttpd");
  }
  core->port =
      MHD_get_daemon_info(core->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  core->listener =
      MHD_get_daemon_info(core->daemon, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd;
  const int epoll_fd =
      MHD_get_daemon_info(core->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  Core* core_pointer = core.get();
  core->watcher = std::make_unique<IoWatcher>(
      loop, epoll_fd, IoWatcher::kRead,
      [core_pointer](IoWatcher::Interest) { core_pointer->OnReadable(); });
  core->hangup_epoll = epoll_create1(EPOLL_CLOEXEC);
  if (core->hangup_epoll < 0) {
    return MakeFailure(
        ResultCode::kSettingsInvalid,
        "listen address " + core->options.address + ":" +
            std::to_string(core->options.port) +
            " lacks an epoll descriptor: " + std::strerror(errno));
  }
  core->hangup_watcher = std::make_unique<IoWatcher>(
      loop, core->hangup_epoll, IoWatcher::kRead,
      [core_pointer](IoWatcher::Interest) { core_pointer->HandleHangups(); });
  core->timeout_check_timer = std::make_unique<Timer>(
      loop, kTimeoutCheckInterval, kTimeoutCheckInterval,
      [core_pointer] { core_pointer->CloseTimedOutConnections(); });
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(core)));
}

}  // namespace toucanhollow
