#include "http_server/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <exception>
#include <optional>
#include <unordered_map>
#include <utility>

#include "base/check.h"
#include "http_server/http_exchange.h"

namespace toucanhollow {
namespace {

using detail::HttpExchange;

// Bytes of a body over the limit that are read and dropped so that the caller
// can read status 413; after that the connection is closed.
constexpr std::size_t kMaxDroppedBodyBytes = std::size_t{16} * 1024 * 1024;
constexpr Duration kSweepInterval = Seconds(1);
// libmicrohttpd keeps the header, its parsed form and the write buffer in one
// memory pool for each connection.
constexpr std::size_t kPoolBytesBesideHeader = std::size_t{16} * 1024;
constexpr std::size_t kMaxReadBlockBytes = std::size_t{8} * 1024;

struct Connection {
  int file_descriptor = -1;
  // Start of the wait for the present request.
  TimePoint idle_since;
  // Arrival of the request line, until the request is whole.
  std::optional<TimePoint> reading_since;
  bool closing = false;
  bool in_request = false;
};

// The per-request pointer that libmicrohttpd carries.
struct Slot {
  std::shared_ptr<HttpExchange> exchange;
  MHD_Connection* mhd = nullptr;
  Connection* connection = nullptr;
  std::uint64_t id = 0;
};

std::string_view ReasonOf(int status) {
  switch (status) {
    case 408:
      return "request not received in time\n";
    case 413:
      return "body too large\n";
    case 431:
      return "header too large\n";
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

std::size_t HeaderBytes(const HttpRequest& request) {
  std::size_t bytes = request.path.size() + request.query.size();
  for (const HttpHeader& header : request.headers) {
    bytes += header.name.size() + header.value.size() + 4;
  }
  return bytes;
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

// Content type and body of an answer of the server's own.
std::pair<std::string, std::string> ErrorAnswer(
    const HttpServerOptions& options,
    int status) {
  if (options.error_body) {
    return {"application/json", options.error_body(status)};
  }
  return {"text/plain", std::string(ReasonOf(status))};
}

MHD_Result QueueError(MHD_Connection* mhd,
                      const HttpServerOptions& options,
                      int status) {
  auto [type, body] = ErrorAnswer(options, status);
  MHD_Response* response = MHD_create_response_from_buffer(
      body.size(), body.data(), MHD_RESPMEM_MUST_COPY);
  AddHeaders(response, {{"Content-Type", type}}, true);
  const MHD_Result result =
      MHD_queue_response(mhd, static_cast<unsigned int>(status), response);
  MHD_destroy_response(response);
  return result;
}

ssize_t ReadBlock(void* context, std::uint64_t, char* target, std::size_t max) {
  auto* slot = static_cast<Slot*>(context);
  HttpExchange& exchange = *slot->exchange;
  if (exchange.aborted) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  const std::size_t ready = exchange.buffer.size() - exchange.taken;
  if (ready == 0) {
    if (exchange.ended) {
      return MHD_CONTENT_READER_END_OF_STREAM;
    }
    exchange.suspended = true;
    MHD_suspend_connection(slot->mhd);
    return 0;
  }
  const std::size_t count = std::min(ready, max);
  std::copy_n(exchange.buffer.data() + exchange.taken, count, target);
  exchange.taken += count;
  if (exchange.taken == exchange.buffer.size()) {
    exchange.buffer.clear();
    exchange.taken = 0;
  }
  return static_cast<ssize_t>(count);
}

// Sent past libmicrohttpd, which cannot answer a request that is not whole.
// No part of an answer is pending on the connection at that moment.
void SendRequestTimeout(const HttpServerOptions& options, int file_descriptor) {
  const auto [type, body] = ErrorAnswer(options, 408);
  const std::string answer =
      "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Type: " +
      type + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
      body;
  [[maybe_unused]] const ssize_t sent =
      send(file_descriptor, answer.data(), answer.size(),
           MSG_DONTWAIT | MSG_NOSIGNAL);
}

}  // namespace

struct HttpServer::Core {
  Core(EventLoop& loop, HttpServerOptions options, HttpHandler handler)
      : loop(loop), options(std::move(options)), handler(std::move(handler)) {}

  EventLoop& loop;
  HttpServerOptions options;
  HttpHandler handler;
  MHD_Daemon* daemon = nullptr;
  // Watches connections that libmicrohttpd has suspended, because it does not
  // notice a closed connection while suspended.
  int hangup_epoll = -1;
  std::uint16_t port = 0;
  bool stopped_accepting = false;
  bool run_posted = false;
  std::uint64_t next_slot_id = 1;
  std::unordered_map<std::uint64_t, Slot*> slots;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> connections;
  std::unique_ptr<IoWatcher> watcher;
  std::unique_ptr<IoWatcher> hangup_watcher;
  std::unique_ptr<Timer> sweep;
  std::unique_ptr<Timer> run_timer;
  // Posted calls outlive the server; they hold this token weakly.
  std::shared_ptr<int> alive = std::make_shared<int>(0);

  ~Core();
  void Run();
  void PostRun();
  void Wake(std::uint64_t slot_id);
  void Sweep();
  void OnHangups();
  Slot* NewSlot(MHD_Connection* mhd, const char* uri);
  MHD_Result OnRequestPart(Slot* slot,
                           const char* url,
                           const char* method,
                           const char* data,
                           std::size_t* size);
  MHD_Result OnWholeRequest(Slot* slot);
  MHD_Result QueueResponse(Slot* slot) const;
  void OnCompleted(Slot* slot, MHD_RequestTerminationCode code);

  static Core* From(void* context) { return static_cast<Core*>(context); }
};

HttpServer::Core::~Core() {
  this->alive.reset();
  this->run_timer.reset();
  this->sweep.reset();
  this->watcher.reset();
  this->hangup_watcher.reset();
  if (this->daemon != nullptr) {
    // MHD_stop_daemon requires that no connection is suspended.
    for (const auto& [id, slot] : this->slots) {
      slot->exchange->aborted = true;
      if (std::exchange(slot->exchange->suspended, false)) {
        MHD_resume_connection(slot->mhd);
      }
    }
    MHD_run(this->daemon);
    MHD_stop_daemon(this->daemon);
  }
  if (this->hangup_epoll >= 0) {
    close(this->hangup_epoll);
  }
}

void HttpServer::Core::Run() {
  MHD_run(this->daemon);
  this->run_timer.reset();
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
  if (MHD_get_timeout(this->daemon, &timeout_ms) == MHD_YES &&
      Milliseconds(static_cast<std::int64_t>(timeout_ms)) < kSweepInterval) {
    this->run_timer = std::make_unique<Timer>(
        this->loop, Milliseconds(static_cast<std::int64_t>(timeout_ms)),
        Duration(0), [this] { this->Run(); });
  }
}

// One run serves all writes of a loop iteration.
void HttpServer::Core::PostRun() {
  if (std::exchange(this->run_posted, true)) {
    return;
  }
  Post(this->loop, [this, token = std::weak_ptr<int>(this->alive)] {
    if (!token.expired()) {
      this->run_posted = false;
      this->Run();
    }
  });
}

void HttpServer::Core::Wake(std::uint64_t slot_id) {
  const auto found = this->slots.find(slot_id);
  if (found == this->slots.end()) {
    return;
  }
  if (std::exchange(found->second->exchange->suspended, false)) {
    MHD_resume_connection(found->second->mhd);
    this->PostRun();
  }
}

void HttpServer::Core::Sweep() {
  const TimePoint now = EventLoop::Now();
  for (const auto& [key, connection] : this->connections) {
    if (connection->closing) {
      continue;
    }
    const bool slow =
        connection->reading_since.has_value() &&
        now - *connection->reading_since > this->options.request_timeout;
    const bool idle = !connection->in_request &&
                      now - connection->idle_since > this->options.idle_timeout;
    if (slow) {
      SendRequestTimeout(this->options, connection->file_descriptor);
    }
    if (slow || idle) {
      connection->closing = true;
      // libmicrohttpd then reads the end of the stream and closes.
      shutdown(connection->file_descriptor, SHUT_RDWR);
    }
  }
  this->Run();
}

void HttpServer::Core::OnHangups() {
  std::array<epoll_event, 64> events{};
  const int count = epoll_wait(this->hangup_epoll, events.data(),
                               static_cast<int>(events.size()), 0);
  for (int i = 0; i < count; ++i) {
    const auto found = this->slots.find(events.at(i).data.u64);
    if (found != this->slots.end()) {
      const std::shared_ptr<HttpExchange> exchange = found->second->exchange;
      exchange->aborted = true;
      exchange->completed = true;
      if (std::exchange(exchange->suspended, false)) {
        MHD_resume_connection(found->second->mhd);
        this->PostRun();
      }
      if (!exchange->ended && exchange->caller_gone) {
        std::exchange(exchange->caller_gone, nullptr)();
      }
    }
  }
}

Slot* HttpServer::Core::NewSlot(MHD_Connection* mhd, const char* uri) {
  auto* slot = new Slot;
  slot->mhd = mhd;
  slot->id = this->next_slot_id++;
  slot->exchange = std::make_shared<HttpExchange>();
  slot->exchange->wake = [this, id = slot->id] { this->Wake(id); };
  const std::string_view text(uri);
  const std::size_t mark = text.find('?');
  if (mark != std::string_view::npos) {
    slot->exchange->request.query = text.substr(mark + 1);
  }
  this->slots.emplace(slot->id, slot);
  return slot;
}

MHD_Result HttpServer::Core::OnRequestPart(Slot* slot,
                                           const char* url,
                                           const char* method,
                                           const char* data,
                                           std::size_t* size) {
  HttpExchange& exchange = *slot->exchange;
  if (slot->connection == nullptr) {
    // First call: the header is complete.
    const auto* info =
        MHD_get_connection_info(slot->mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    slot->connection = static_cast<Connection*>(info->socket_context);
    slot->connection->in_request = true;
    slot->connection->reading_since = EventLoop::Now();
    exchange.request.method = method;
    exchange.request.path = url;
    MHD_get_connection_values(slot->mhd, MHD_HEADER_KIND, CollectHeader,
                              &exchange.request.headers);
    if (HeaderBytes(exchange.request) > this->options.max_header_bytes) {
      return QueueError(slot->mhd, this->options, 431);
    }
    const auto length =
        ParseDecimal(FindHeader(exchange.request.headers, "Content-Length"));
    if (length.has_value() &&
        *length > static_cast<std::int64_t>(this->options.max_body_bytes)) {
      return QueueError(slot->mhd, this->options, 413);
    }
    return MHD_YES;
  }
  if (*size > 0) {
    std::string& body = exchange.request.body;
    exchange.body_too_large =
        exchange.body_too_large ||
        body.size() + *size > this->options.max_body_bytes;
    if (exchange.body_too_large) {
      exchange.taken += *size;
      if (exchange.taken > kMaxDroppedBodyBytes) {
        return MHD_NO;
      }
    } else {
      body.append(data, *size);
    }
    *size = 0;
    return MHD_YES;
  }
  return this->OnWholeRequest(slot);
}

MHD_Result HttpServer::Core::OnWholeRequest(Slot* slot) {
  const std::shared_ptr<HttpExchange> exchange = slot->exchange;
  slot->connection->reading_since.reset();
  if (exchange->body_too_large) {
    exchange->taken = 0;
    return QueueError(slot->mhd, this->options, 413);
  }
  if (!exchange->handed_over) {
    exchange->handed_over = true;
    epoll_event event{};
    event.events = EPOLLRDHUP | EPOLLONESHOT;
    event.data.u64 = slot->id;
    epoll_ctl(this->hangup_epoll, EPOLL_CTL_ADD,
              slot->connection->file_descriptor, &event);
    const auto writer = std::make_shared<HttpResponseWriter>(exchange);
    try {
      this->handler(std::move(exchange->request), writer);
    } catch (const std::exception& error) {
      // The library that calls here is C.
      detail::ReportUncaughtException(this->loop.raw(), error.what());
      if (!exchange->started) {
        writer->Respond(500, {}, "");
      }
    }
  }
  if (exchange->aborted) {
    return MHD_NO;
  }
  if (!exchange->started) {
    exchange->suspended = true;
    MHD_suspend_connection(slot->mhd);
    return MHD_YES;
  }
  return this->QueueResponse(slot);
}

MHD_Result HttpServer::Core::QueueResponse(Slot* slot) const {
  HttpExchange& exchange = *slot->exchange;
  MHD_Response* response = nullptr;
  if (exchange.ended) {
    response = MHD_create_response_from_buffer(
        exchange.buffer.size(), exchange.buffer.data(), MHD_RESPMEM_MUST_COPY);
    exchange.taken = exchange.buffer.size();
  } else {
    response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, kMaxReadBlockBytes, ReadBlock, slot, nullptr);
  }
  InternalCheck(response != nullptr, "libmicrohttpd creates a response");
  AddHeaders(response, exchange.headers, this->stopped_accepting);
  const MHD_Result result = MHD_queue_response(
      slot->mhd, static_cast<unsigned int>(exchange.status), response);
  MHD_destroy_response(response);
  return result;
}

void HttpServer::Core::OnCompleted(Slot* slot,
                                   MHD_RequestTerminationCode code) {
  const std::shared_ptr<HttpExchange> exchange = slot->exchange;
  if (slot->connection != nullptr) {
    epoll_ctl(this->hangup_epoll, EPOLL_CTL_DEL,
              slot->connection->file_descriptor, nullptr);
    slot->connection->in_request = false;
    slot->connection->reading_since.reset();
    slot->connection->idle_since = EventLoop::Now();
  }
  exchange->completed = true;
  this->slots.erase(slot->id);
  delete slot;
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && exchange->caller_gone) {
    std::exchange(exchange->caller_gone, nullptr)();
  }
}

HttpServer::HttpServer(std::unique_ptr<Core> core) : core(std::move(core)) {}

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::Port() const {
  return this->core->port;
}

std::size_t HttpServer::OpenRequests() const {
  return this->core->slots.size();
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
    close(listener);
  }
  for (const auto& [key, connection] : this->core->connections) {
    // A caller that is sending a request keeps its connection.
    char byte = 0;
    const bool unread = recv(connection->file_descriptor, &byte, 1,
                             MSG_PEEK | MSG_DONTWAIT) > 0;
    if (!connection->in_request && !connection->reading_since && !unread) {
      connection->closing = true;
      shutdown(connection->file_descriptor, SHUT_RDWR);
    }
  }
  this->core->PostRun();
}

Result<std::unique_ptr<HttpServer>> HttpServer::Listen(
    EventLoop& loop,
    HttpServerOptions options,
    HttpHandler handler) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(options.port);
  if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1) {
    return MakeFailure(ResultCode::kSettingsInvalid,
                       "listen address '" + options.address +
                           "' is not an IPv4 address; write it as in 10.0.0.1");
  }
  auto core =
      std::make_unique<Core>(loop, std::move(options), std::move(handler));
  const auto idle_s = static_cast<unsigned int>(
      std::chrono::ceil<std::chrono::seconds>(core->options.idle_timeout)
          .count());
  core->daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, core->options.port, nullptr,
      nullptr,
      +[](void* context, MHD_Connection*, const char* url, const char* method,
          const char*, const char* data, std::size_t* size, void** slot) {
        return Core::From(context)->OnRequestPart(static_cast<Slot*>(*slot),
                                                  url, method, data, size);
      },
      core.get(), MHD_OPTION_SOCK_ADDR,
      reinterpret_cast<const sockaddr*>(&address), MHD_OPTION_URI_LOG_CALLBACK,
      +[](void* context, const char* uri, MHD_Connection* mhd) -> void* {
        return Core::From(context)->NewSlot(mhd, uri);
      },
      core.get(), MHD_OPTION_NOTIFY_COMPLETED,
      +[](void* context, MHD_Connection*, void** slot,
          MHD_RequestTerminationCode code) {
        if (*slot != nullptr) {
          Core::From(context)->OnCompleted(
              static_cast<Slot*>(std::exchange(*slot, nullptr)), code);
        }
      },
      core.get(), MHD_OPTION_NOTIFY_CONNECTION,
      +[](void* context, MHD_Connection* mhd, void** socket_context,
          MHD_ConnectionNotificationCode code) {
        Core* core = Core::From(context);
        if (code == MHD_CONNECTION_NOTIFY_STARTED) {
          auto connection = std::make_unique<Connection>();
          connection->file_descriptor =
              MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD)
                  ->connect_fd;
          connection->idle_since = EventLoop::Now();
          Connection* key = connection.get();
          *socket_context = key;
          core->connections.emplace(key, std::move(connection));
        } else {
          core->connections.erase(static_cast<Connection*>(*socket_context));
        }
      },
      core.get(), MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      std::size_t{2} * core->options.max_header_bytes + kPoolBytesBesideHeader,
      MHD_OPTION_CONNECTION_LIMIT, core->options.max_connections,
      MHD_OPTION_CONNECTION_TIMEOUT, idle_s, MHD_OPTION_END);
  if (core->daemon == nullptr) {
    return MakeFailure(ResultCode::kSettingsInvalid,
                       "listen address " + core->options.address + ":" +
                           std::to_string(core->options.port) +
                           " cannot be bound; choose a free port");
  }
  core->port =
      MHD_get_daemon_info(core->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  const int epoll_fd =
      MHD_get_daemon_info(core->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  Core* raw = core.get();
  core->watcher =
      std::make_unique<IoWatcher>(loop, epoll_fd, IoWatcher::kRead,
                                  [raw](IoWatcher::Interest) { raw->Run(); });
  core->hangup_epoll = epoll_create1(EPOLL_CLOEXEC);
  InternalCheck(core->hangup_epoll >= 0, "an epoll descriptor is created");
  core->hangup_watcher = std::make_unique<IoWatcher>(
      loop, core->hangup_epoll, IoWatcher::kRead,
      [raw](IoWatcher::Interest) { raw->OnHangups(); });
  core->sweep = std::make_unique<Timer>(loop, kSweepInterval, kSweepInterval,
                                        [raw] { raw->Sweep(); });
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(core)));
}

}  // namespace toucanhollow
