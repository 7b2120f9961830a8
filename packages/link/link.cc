#include "link/link.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <deque>
#include <utility>

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

namespace toucanhollow {
namespace {

// A websocketpp configuration without locks and logger, because a link is used
// by a single event loop.
template <typename Base>
struct SingleThreadedConfig : public Base {
  using type = SingleThreadedConfig;
  using concurrency_type = websocketpp::concurrency::none;
  using request_type = typename Base::request_type;
  using response_type = typename Base::response_type;
  using elog_type = websocketpp::log::stub;
  using alog_type = websocketpp::log::stub;
  using rng_type =
      websocketpp::random::random_device::int_generator<std::uint32_t,
                                                        concurrency_type>;
  static const bool enable_multithreading = false;

  // NOLINTNEXTLINE(readability-identifier-naming): websocketpp names it.
  struct transport_config : public Base::transport_config {
    using concurrency_type = typename type::concurrency_type;
    using elog_type = typename type::elog_type;
    using alog_type = typename type::alog_type;
    using request_type = typename type::request_type;
    using response_type = typename type::response_type;
    static const bool enable_multithreading = false;
  };
  using transport_type =
      websocketpp::transport::iostream::endpoint<transport_config>;
};

using Client =
    websocketpp::client<SingleThreadedConfig<websocketpp::config::core_client>>;
using Server =
    websocketpp::server<SingleThreadedConfig<websocketpp::config::core>>;

constexpr std::size_t kBufferBytes = std::size_t{64} << 10;
constexpr int kListenBacklog = 1024;
// Without a free descriptor the listening socket stays readable, so it is not
// watched for this long after a failed accept.
constexpr Duration kAcceptPause = Milliseconds(50);

bool ParseAddress(const std::string& address, int port, sockaddr_in* parsed) {
  *parsed = {};
  parsed->sin_family = AF_INET;
  parsed->sin_port = htons(static_cast<std::uint16_t>(port));
  return inet_pton(AF_INET, address.c_str(), &parsed->sin_addr) == 1;
}

void SetNoDelay(int file_descriptor) {
  const int on = 1;
  setsockopt(file_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

struct Link::State : public std::enable_shared_from_this<Link::State> {
  explicit State(EventLoop& event_loop) : loop(event_loop) {}
  ~State() {
    if (this->file_descriptor >= 0) {
      close(this->file_descriptor);
    }
  }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  // The operations of a websocketpp connection, client or server.
  struct WebSocketConnection {
    std::function<void(const char*, std::size_t)> receive;
    std::function<bool(std::string_view)> send;
    std::function<void()> start_close;
    // Ends the pending read, which holds a reference to its own connection.
    std::function<void()> terminate;
    // Own the websocketpp endpoint and connection.
    std::shared_ptr<void> endpoint;
    std::shared_ptr<void> connection;
  };

  void Write(const char* bytes, std::size_t size);
  void Flush();
  void OnReady(IoWatcher::Interest ready);
  void Receive();
  void Finish(const std::string& reason);
  void StartTimeout(const std::string& reason);
  void UpdateInterest();

  EventLoop& loop;
  LinkLimits limits;
  LinkEvents events;
  int file_descriptor = -1;
  std::unique_ptr<IoWatcher> watcher;
  std::unique_ptr<Timer> timeout;
  WebSocketConnection websocket;
  std::function<void()> on_connected;
  bool connecting = false;
  bool open = false;
  bool closing = false;
  bool finished = false;
  // The Link was destroyed; no callback is called any more.
  bool detached = false;
  // The bytes from `sent_offset` on are not yet written to the socket.
  // `message_ends` holds the offsets in `send_buffer` at which queued messages
  // end.
  std::string send_buffer;
  std::size_t sent_offset = 0;
  std::deque<std::size_t> message_ends;
  std::uint64_t total_sent = 0;
  std::uint64_t total_received = 0;
};

void Link::State::UpdateInterest() {
  if (this->watcher) {
    this->watcher->SetInterest(this->sent_offset < this->send_buffer.size() ||
                                       this->connecting
                                   ? IoWatcher::kReadWrite
                                   : IoWatcher::kRead);
  }
}

void Link::State::Write(const char* bytes, std::size_t size) {
  if (this->finished) {
    return;
  }
  if (this->sent_offset == this->send_buffer.size() && !this->connecting) {
    const ssize_t count =
        send(this->file_descriptor, bytes, size, MSG_NOSIGNAL);
    if (count > 0) {
      this->total_sent += static_cast<std::uint64_t>(count);
      bytes += count;
      size -= static_cast<std::size_t>(count);
    }
    // A send error is ignored here: Receive reports the broken connection.
  }
  if (size > 0) {
    this->send_buffer.append(bytes, size);
    this->UpdateInterest();
  }
}

void Link::State::Flush() {
  while (this->sent_offset < this->send_buffer.size()) {
    const ssize_t count = send(
        this->file_descriptor, this->send_buffer.data() + this->sent_offset,
        this->send_buffer.size() - this->sent_offset, MSG_NOSIGNAL);
    if (count <= 0) {
      break;
    }
    this->sent_offset += static_cast<std::size_t>(count);
    this->total_sent += static_cast<std::uint64_t>(count);
  }
  while (!this->message_ends.empty() &&
         this->message_ends.front() <= this->sent_offset) {
    this->message_ends.pop_front();
  }
  if (this->sent_offset == this->send_buffer.size()) {
    this->send_buffer.clear();
    this->sent_offset = 0;
  } else if (this->sent_offset > kBufferBytes) {
    this->send_buffer.erase(0, this->sent_offset);
    for (std::size_t& end : this->message_ends) {
      end -= this->sent_offset;
    }
    this->sent_offset = 0;
  }
  this->UpdateInterest();
}

void Link::State::Receive() {
  static thread_local std::array<char, kBufferBytes> buffer;
  while (!this->finished) {
    const ssize_t count =
        recv(this->file_descriptor, buffer.data(), buffer.size(), 0);
    if (count == 0) {
      this->Finish("the peer closed the connection");
      return;
    }
    if (count < 0) {
      if (errno != EAGAIN && errno != EINTR) {
        this->Finish(std::strerror(errno));
      }
      return;
    }
    this->total_received += static_cast<std::uint64_t>(count);
    this->websocket.receive(buffer.data(), static_cast<std::size_t>(count));
    if (static_cast<std::size_t>(count) < buffer.size()) {
      return;
    }
  }
}

void Link::State::OnReady(IoWatcher::Interest ready) {
  const auto self = this->shared_from_this();
  if (this->connecting) {
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(this->file_descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      this->Finish(std::strerror(error));
      return;
    }
    this->connecting = false;
    this->on_connected();
    this->UpdateInterest();
    return;
  }
  if ((ready & IoWatcher::kWrite) != 0) {
    this->Flush();
  }
  if ((ready & IoWatcher::kRead) != 0) {
    this->Receive();
  }
}

void Link::State::Finish(const std::string& reason) {
  if (this->finished) {
    return;
  }
  this->finished = true;
  this->open = false;
  // Posted, because the watcher or the connection may be on the call stack.
  Post(this->loop, [self = this->shared_from_this(), reason] {
    self->watcher.reset();
    self->timeout.reset();
    if (self->file_descriptor >= 0) {
      close(self->file_descriptor);
      self->file_descriptor = -1;
    }
    if (self->websocket.terminate) {
      self->websocket.terminate();
    }
    self->websocket = WebSocketConnection{};
    self->on_connected = nullptr;
    const LinkEvents events = std::exchange(self->events, LinkEvents{});
    if (events.closed && !self->detached) {
      events.closed(reason);
    }
  });
}

void Link::State::StartTimeout(const std::string& reason) {
  this->timeout = std::make_unique<Timer>(
      this->loop, this->limits.handshake_timeout, Duration(0),
      [weak = this->weak_from_this(), reason] {
        if (const auto self = weak.lock()) {
          self->Finish(reason);
        }
      });
}

namespace {

// Sets all handlers before `make_connection` is called, because a connection
// copies the endpoint's handlers when it is created.
template <typename Endpoint>
typename Endpoint::connection_ptr AttachHandlers(
    const std::shared_ptr<Link::State>& state,
    const std::shared_ptr<Endpoint>& endpoint,
    const std::function<typename Endpoint::connection_ptr()>& make_connection) {
  using websocketpp::connection_hdl;
  const std::weak_ptr<Link::State> weak = state;
  endpoint->set_write_handler(
      [weak](const connection_hdl&, const char* bytes, std::size_t size) {
        if (const auto self = weak.lock()) {
          self->Write(bytes, size);
        }
        return websocketpp::lib::error_code();
      });
  endpoint->set_open_handler([weak](const connection_hdl&) {
    const auto self = weak.lock();
    if (!self || self->finished) {
      return;
    }
    self->open = true;
    self->timeout.reset();
    const auto opened = self->events.opened;
    if (opened) {
      opened();
    }
  });
  endpoint->set_message_handler(
      [weak](const connection_hdl&,
             const typename Endpoint::message_ptr& message) {
        const auto self = weak.lock();
        if (self && !self->finished && self->events.message) {
          self->events.message(message->get_payload());
        }
      });
  endpoint->set_close_handler([weak](const connection_hdl&) {
    if (const auto self = weak.lock()) {
      self->Finish("closed");
    }
  });
  endpoint->set_fail_handler([weak](const connection_hdl&) {
    if (const auto self = weak.lock()) {
      self->Finish("the WebSocket handshake failed");
    }
  });
  endpoint->set_shutdown_handler([weak](const connection_hdl&) {
    if (const auto self = weak.lock()) {
      self->Flush();
    }
    return websocketpp::lib::error_code();
  });
  endpoint->set_max_message_size(state->limits.max_message_bytes);
  typename Endpoint::connection_ptr connection = make_connection();
  if (!connection) {
    return connection;
  }
  // Writes the frame header and the payload in one system call.
  connection->set_vector_write_handler(
      [weak](const connection_hdl&,
             const std::vector<websocketpp::transport::buffer>& buffers) {
        std::string joined;
        for (const websocketpp::transport::buffer& buffer : buffers) {
          joined.append(buffer.buf, buffer.len);
        }
        if (const auto self = weak.lock()) {
          self->Write(joined.data(), joined.size());
        }
        return websocketpp::lib::error_code();
      });
  // The raw pointer is safe: these functions and the owner of the connection
  // are members of the same WebSocketConnection.
  auto* raw = connection.get();
  state->websocket.receive = [raw](const char* bytes, std::size_t size) {
    raw->read_all(bytes, size);
  };
  state->websocket.send = [raw](std::string_view message) {
    return !raw->send(message.data(), message.size(),
                      websocketpp::frame::opcode::binary);
  };
  state->websocket.start_close = [raw] {
    websocketpp::lib::error_code ignored;
    raw->close(websocketpp::close::status::normal, "", ignored);
  };
  state->websocket.terminate = [raw] { raw->fatal_error(); };
  state->websocket.endpoint = endpoint;
  state->websocket.connection = connection;
  return connection;
}

void StartWatching(const std::shared_ptr<Link::State>& state,
                   IoWatcher::Interest interest) {
  state->watcher = std::make_unique<IoWatcher>(
      state->loop, state->file_descriptor, interest,
      [weak = std::weak_ptr<Link::State>(state)](IoWatcher::Interest ready) {
        if (const auto self = weak.lock()) {
          self->OnReady(ready);
        }
      });
}

// Connects the socket; the WebSocket handshake follows once it is connected.
void StartClient(const std::shared_ptr<Link::State>& state,
                 const std::string& address,
                 int port) {
  sockaddr_in parsed{};
  if (!ParseAddress(address, port, &parsed)) {
    state->Finish("not an IPv4 address: " + address);
    return;
  }
  state->file_descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (state->file_descriptor < 0) {
    state->Finish(std::strerror(errno));
    return;
  }
  SetNoDelay(state->file_descriptor);
  const auto endpoint = std::make_shared<Client>();
  const std::string uri =
      "ws://" + address + ":" + std::to_string(port) + "/link";
  const auto connection =
      AttachHandlers<Client>(state, endpoint, [&endpoint, &uri] {
        websocketpp::lib::error_code error;
        return endpoint->get_connection(uri, error);
      });
  if (!connection) {
    state->Finish("not a valid link URI: " + uri);
    return;
  }
  auto* raw_endpoint = endpoint.get();
  state->on_connected = [raw_endpoint, weak = std::weak_ptr(connection)] {
    if (const auto strong = weak.lock()) {
      raw_endpoint->connect(strong);
    }
  };
  state->connecting = true;
  if (connect(state->file_descriptor, reinterpret_cast<sockaddr*>(&parsed),
              sizeof(parsed)) != 0 &&
      errno != EINPROGRESS) {
    state->Finish(std::strerror(errno));
    return;
  }
  StartWatching(state, IoWatcher::kReadWrite);
  state->StartTimeout("the WebSocket handshake timed out");
}

}  // namespace

Link::Link(std::shared_ptr<State> link_state) : state(std::move(link_state)) {}

Link::~Link() {
  // A callback may be on the call stack, so Finish destroys the callbacks
  // later.
  this->state->detached = true;
  this->state->Finish("destroyed");
}

std::shared_ptr<Link> Link::Connect(EventLoop& loop,
                                    const std::string& address,
                                    int port,
                                    const LinkLimits& limits,
                                    LinkEvents events) {
  auto state = std::make_shared<State>(loop);
  state->limits = limits;
  state->events = std::move(events);
  auto link = std::make_shared<Link>(state);
  StartClient(state, address, port);
  return link;
}

bool Link::Send(std::string_view message) {
  State& self = *this->state;
  const std::size_t waiting = self.send_buffer.size() - self.sent_offset;
  if (!self.open || self.closing ||
      (waiting > 0 &&
       (waiting + message.size() > self.limits.max_queued_bytes ||
        self.message_ends.size() >= self.limits.max_queued_messages))) {
    return false;
  }
  if (!self.websocket.send(message)) {
    return false;
  }
  if (self.sent_offset < self.send_buffer.size()) {
    self.message_ends.push_back(self.send_buffer.size());
  }
  return true;
}

void Link::Close() {
  State& self = *this->state;
  if (self.finished || self.closing) {
    return;
  }
  self.closing = true;
  if (!self.open) {
    self.Finish("the link was closed before it opened");
    return;
  }
  self.StartTimeout("the peer did not answer the close frame in time");
  self.websocket.start_close();
}

bool Link::IsOpen() const {
  return this->state->open && !this->state->closing;
}

std::size_t Link::QueuedBytes() const {
  return this->state->send_buffer.size() - this->state->sent_offset;
}

std::uint64_t Link::BytesSent() const {
  return this->state->total_sent;
}

std::uint64_t Link::BytesReceived() const {
  return this->state->total_received;
}

struct LinkListener::State {
  EventLoop* loop = nullptr;
  LinkLimits limits;
  std::function<LinkEvents(std::shared_ptr<Link>)> accepted;
  int file_descriptor = -1;
  int port = 0;
  std::string error;
  std::unique_ptr<IoWatcher> watcher;
  std::unique_ptr<Timer> resume_timer;

  void Accept();
  // Leaves the connections in the backlog for a short time.
  void Pause();
};

void LinkListener::State::Pause() {
  this->watcher->SetInterest(IoWatcher::kNone);
  this->resume_timer = std::make_unique<Timer>(
      *this->loop, kAcceptPause, Duration(0),
      [this] { this->watcher->SetInterest(IoWatcher::kRead); });
}

void LinkListener::State::Accept() {
  for (;;) {
    const int accepted_socket = accept4(this->file_descriptor, nullptr, nullptr,
                                        SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted_socket < 0) {
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
          errno == ENOMEM) {
        this->Pause();
      }
      return;
    }
    SetNoDelay(accepted_socket);
    auto state = std::make_shared<Link::State>(*this->loop);
    state->limits = this->limits;
    state->file_descriptor = accepted_socket;
    const auto endpoint = std::make_shared<Server>();
    const auto connection = AttachHandlers<Server>(
        state, endpoint, [&endpoint] { return endpoint->get_connection(); });
    if (!connection) {
      // The destructor of `state` closes the socket.
      continue;
    }
    StartWatching(state, IoWatcher::kRead);
    state->StartTimeout("the WebSocket handshake timed out");
    state->events = this->accepted(std::make_shared<Link>(state));
    connection->start();
  }
}

LinkListener::LinkListener(
    EventLoop& loop,
    const std::string& address,
    int port,
    const LinkLimits& limits,
    std::function<LinkEvents(std::shared_ptr<Link>)> accepted)
    : state(std::make_unique<State>()) {
  this->state->loop = &loop;
  this->state->limits = limits;
  this->state->accepted = std::move(accepted);
  sockaddr_in parsed{};
  if (!ParseAddress(address, port, &parsed)) {
    this->state->error = "not an IPv4 address: " + address;
    return;
  }
  const int listener =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  this->state->file_descriptor = listener;
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  socklen_t size = sizeof(parsed);
  if (bind(listener, reinterpret_cast<sockaddr*>(&parsed), size) != 0 ||
      listen(listener, kListenBacklog) != 0 ||
      getsockname(listener, reinterpret_cast<sockaddr*>(&parsed), &size) != 0) {
    this->state->error = std::strerror(errno);
    return;
  }
  this->state->port = ntohs(parsed.sin_port);
  this->state->watcher = std::make_unique<IoWatcher>(
      loop, listener, IoWatcher::kRead,
      [raw = this->state.get()](IoWatcher::Interest) { raw->Accept(); });
}

LinkListener::~LinkListener() {
  this->state->resume_timer.reset();
  this->state->watcher.reset();
  if (this->state->file_descriptor >= 0) {
    close(this->state->file_descriptor);
  }
}

const std::string& LinkListener::Error() const {
  return this->state->error;
}

int LinkListener::Port() const {
  return this->state->port;
}

}  // namespace toucanhollow
