#include "http_stream/tcp_connection.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "http_stream/send_queue.h"

namespace toucanhollow {
namespace {

// Limits a single read, so that one peer cannot block the event loop.
constexpr std::size_t kMaxReadBytes = std::size_t{32} * 1024;
// Maximum connections accepted in one event-loop callback.
constexpr int kMaxAcceptsPerCallback = 32;
// Callers that connect while the process gets no processor time wait in the
// kernel's queue. The kernel caps it at net.core.somaxconn, which is 4096 on
// current systems.
constexpr int kListenBacklog = 4095;
// The kernel queues one connection more than the number passed to listen.
constexpr int kMaxQueuedConnections = kListenBacklog + 1;
// Without a free descriptor the listening socket stays readable, so it is not
// watched for this long after a failed accept.
constexpr Duration kAcceptPause = Milliseconds(50);
// A connection to a server fails when sent bytes stay unacknowledged this long.
// Callers wait at most 8 s, so a server that is silent for longer cannot serve
// them in time.
constexpr unsigned int kServerUserTimeoutMs = 3000;
// The kernel also counts the time in which a peer that does not read has a full
// receive buffer, as callers may have for a few seconds.
constexpr unsigned int kCallerUserTimeoutMs = 10000;

void ConfigureSocket(int socket, unsigned int user_timeout_ms) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
             sizeof(user_timeout_ms));
}

void SetReceiveBuffer(int socket, std::size_t bytes) {
  const int size = static_cast<int>(bytes);
  setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
}

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &socket_address.sin_addr);
  return socket_address;
}

}  // namespace

struct TcpConnection::State : std::enable_shared_from_this<State> {
  EventLoop& loop;
  int socket = -1;
  IoWatcher::Order order;
  bool connected = false;
  bool ended = false;
  bool reading = true;
  std::size_t max_read_bytes = kMaxReadBytes;
  bool input_ended = false;
  bool any_sent = false;
  bool finish_writing = false;
  bool write_failed = false;
  SendQueue queued;
  IoWatcher::Interest interest = IoWatcher::kNone;
  std::unique_ptr<IoWatcher> watcher;
  ConnectionCallbacks callbacks;

  State(EventLoop& loop, int socket, IoWatcher::Order order)
      : loop(loop), socket(socket), order(order) {}
  ~State() { this->Close(); }

  void StartWatching();
  void Close();
  void End(ConnectionEnd end);
  void OnReady(IoWatcher::Interest ready);
  void FinishConnect();
  // Returns false if the connection failed.
  bool SendQueued();
  void Flush();
  // Queues what the function appends, and sends what the kernel accepts.
  template <typename Append>
  void Write(const Append& append);
  void ShutdownIfFinished();
  // Returns true if there were bytes, or the connection ended.
  bool Read();
  void UpdateInterest();
};

void TcpConnection::State::StartWatching() {
  this->interest = this->connected ? IoWatcher::kRead : IoWatcher::kWrite;
  this->watcher = std::make_unique<IoWatcher>(
      this->loop, this->socket, this->interest,
      [this](IoWatcher::Interest ready) { this->OnReady(ready); }, this->order);
}

void TcpConnection::State::Close() {
  this->watcher.reset();
  if (this->socket >= 0) {
    close(this->socket);
    this->socket = -1;
  }
}

void TcpConnection::State::End(ConnectionEnd end) {
  if (this->ended) {
    return;
  }
  this->ended = true;
  this->Close();
  const auto callback = std::move(this->callbacks.on_end);
  if (callback) {
    callback(end);
  }
}

void TcpConnection::State::UpdateInterest() {
  if (this->watcher == nullptr) {
    return;
  }
  const bool wants_write = !this->connected || this->queued.size() > 0;
  const bool wants_read =
      this->connected && this->reading && !this->input_ended;
  const auto new_interest =
      static_cast<IoWatcher::Interest>((wants_read ? IoWatcher::kRead : 0) |
                                       (wants_write ? IoWatcher::kWrite : 0));
  if (new_interest != this->interest) {
    this->interest = new_interest;
    this->watcher->SetInterest(new_interest);
  }
}

void TcpConnection::State::OnReady(IoWatcher::Interest ready) {
  const auto self = this->shared_from_this();
  if (!this->connected) {
    this->FinishConnect();
    return;
  }
  if ((ready & IoWatcher::kWrite) != 0) {
    this->Flush();
  }
  if ((ready & IoWatcher::kRead) != 0 && !this->ended) {
    this->Read();
  }
}

void TcpConnection::State::FinishConnect() {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(this->socket, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    this->End(ConnectionEnd::kNotConnected);
    return;
  }
  this->connected = true;
  this->Flush();
  if (!this->ended && this->callbacks.on_connected) {
    const auto callback = this->callbacks.on_connected;
    callback();
  }
}

bool TcpConnection::State::SendQueued() {
  while (this->queued.size() > 0) {
    const std::string_view bytes = this->queued.front();
    const ssize_t sent =
        send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      this->any_sent = true;
      this->queued.RemoveFront(static_cast<std::size_t>(sent));
      continue;
    }
    if (sent < 0 && errno == EINTR) {
      continue;
    }
    return sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }
  return true;
}

void TcpConnection::State::Flush() {
  if (!this->SendQueued()) {
    this->End(ConnectionEnd::kReset);
    return;
  }
  const bool drained = this->queued.size() == 0;
  this->ShutdownIfFinished();
  this->UpdateInterest();
  if (drained && this->callbacks.on_drained) {
    const auto callback = this->callbacks.on_drained;
    callback();
  }
}

void TcpConnection::State::ShutdownIfFinished() {
  if (this->finish_writing && this->socket >= 0 && this->queued.size() == 0) {
    shutdown(this->socket, SHUT_WR);
  }
}

bool TcpConnection::State::Read() {
  static thread_local std::array<char, kMaxReadBytes> buffer;
  const ssize_t byte_count =
      recv(this->socket, buffer.data(), this->max_read_bytes, 0);
  if (byte_count > 0) {
    if (this->callbacks.on_data) {
      const auto callback = this->callbacks.on_data;
      try {
        callback({buffer.data(), static_cast<std::size_t>(byte_count)});
      } catch (...) {
        // What follows must not be taken for the continuation of bytes that
        // were lost.
        this->End(ConnectionEnd::kReset);
        throw;
      }
    }
    return true;
  }
  if (byte_count < 0 &&
      (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
    return false;
  }
  if (byte_count == 0 && this->callbacks.on_input_end) {
    const auto callback = this->callbacks.on_input_end;
    this->input_ended = true;
    if (callback()) {
      this->UpdateInterest();
      return true;
    }
  }
  this->End(byte_count == 0 ? ConnectionEnd::kOrderly : ConnectionEnd::kReset);
  return true;
}

TcpConnection::TcpConnection(EventLoop& loop, int socket)
    : state(std::make_shared<State>(loop, socket, IoWatcher::Order::kFirst)) {
  ConfigureSocket(socket, kCallerUserTimeoutMs);
  this->state->connected = true;
  this->state->StartWatching();
}

TcpConnection::TcpConnection(EventLoop& loop,
                             const Address& address,
                             std::size_t receive_bytes)
    : state(std::make_shared<State>(loop, -1, IoWatcher::Order::kUsual)) {
  State& state = *this->state;
  state.socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (receive_bytes > 0) {
    SetReceiveBuffer(state.socket, receive_bytes);
  }
  const sockaddr_in socket_address = ToSocketAddress(address);
  const bool connect_started =
      state.socket >= 0 &&
      (connect(state.socket, reinterpret_cast<const sockaddr*>(&socket_address),
               sizeof(socket_address)) == 0 ||
       errno == EINPROGRESS);
  if (!connect_started) {
    Post(loop, [weak_state = std::weak_ptr<State>(this->state)] {
      if (const auto live_state = weak_state.lock()) {
        live_state->End(ConnectionEnd::kNotConnected);
      }
    });
    return;
  }
  ConfigureSocket(state.socket, kServerUserTimeoutMs);
  state.StartWatching();
}

TcpConnection::~TcpConnection() {
  this->state->ended = true;
  this->state->callbacks = {};
  this->state->Close();
}

void TcpConnection::ResetOnClose() {
  const linger reset_on_close{1, 0};
  if (this->state->socket >= 0) {
    setsockopt(this->state->socket, SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof(reset_on_close));
  }
}

void TcpConnection::LimitReceiveBuffer(std::size_t bytes) {
  if (this->state->socket >= 0) {
    SetReceiveBuffer(this->state->socket, bytes);
    // The window does not follow a buffer that is raised later.
    const int window = static_cast<int>(bytes);
    setsockopt(this->state->socket, IPPROTO_TCP, TCP_WINDOW_CLAMP, &window,
               sizeof(window));
  }
}

void TcpConnection::LimitSendBuffer(std::size_t bytes) {
  const int size = static_cast<int>(bytes);
  if (this->state->socket >= 0) {
    setsockopt(this->state->socket, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
  }
}

void TcpConnection::SetCallbacks(ConnectionCallbacks callbacks) {
  this->state->callbacks = std::move(callbacks);
}

template <typename Append>
void TcpConnection::State::Write(const Append& append) {
  if (this->ended || this->write_failed) {
    return;
  }
  try {
    append(this->queued);
  } catch (...) {
    // The peer must not get what is written later without these bytes. The loop
    // notices the shutdown and reports the end.
    this->write_failed = true;
    shutdown(this->socket, SHUT_RDWR);
    throw;
  }
  if (this->connected) {
    // An error is not reported here but from the event loop, because on_end may
    // destroy the object that is calling Write.
    this->SendQueued();
    this->UpdateInterest();
  }
}

void TcpConnection::Write(std::string_view bytes) {
  this->state->Write([bytes](SendQueue& queue) { queue.Append(bytes); });
}

void TcpConnection::Write(std::shared_ptr<const std::string> bytes) {
  this->state->Write(
      [&bytes](SendQueue& queue) { queue.Append(std::move(bytes)); });
}

void TcpConnection::FinishWriting() {
  this->state->finish_writing = true;
  this->state->ShutdownIfFinished();
}

bool TcpConnection::ReadPending() {
  const std::shared_ptr<State> state = this->state;
  return state->connected && state->reading && !state->input_ended &&
         !state->ended && state->Read();
}

std::size_t TcpConnection::unsent() const {
  return this->state->queued.size();
}

std::size_t TcpConnection::unread() const {
  int bytes = 0;
  return this->state->socket >= 0 &&
                 ioctl(this->state->socket, FIONREAD, &bytes) == 0 && bytes > 0
             ? static_cast<std::size_t>(bytes)
             : 0;
}

PeerState TcpConnection::peer_state() const {
  pollfd watched{this->state->socket, POLLRDHUP, 0};
  if (this->state->socket < 0 || poll(&watched, 1, 0) <= 0) {
    return PeerState::kSends;
  }
  return (watched.revents & (POLLERR | POLLHUP)) != 0 ? PeerState::kReset
                                                      : PeerState::kInputEnded;
}

bool TcpConnection::any_sent() const {
  return this->state->any_sent;
}

bool TcpConnection::connected() const {
  return this->state->connected;
}

void TcpConnection::SetReading(bool reading) {
  this->state->reading = reading;
  this->state->UpdateInterest();
}

void TcpConnection::LimitReads(std::size_t bytes) {
  this->state->max_read_bytes =
      std::clamp(bytes, std::size_t{1}, kMaxReadBytes);
}

Result<int> OpenListeningSocket(const Address& address,
                                int backlog,
                                std::size_t receive_bytes) {
  const int listening =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (receive_bytes > 0) {
    SetReceiveBuffer(listening, receive_bytes);
  }
  const int on = 1;
  setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in socket_address = ToSocketAddress(address);
  if (listening < 0 ||
      bind(listening, reinterpret_cast<const sockaddr*>(&socket_address),
           sizeof(socket_address)) != 0 ||
      listen(listening, backlog) != 0) {
    const std::string why = std::strerror(errno);
    if (listening >= 0) {
      close(listening);
    }
    return MakeFailure(ResultCode::kSettingsInvalid,
                       "cannot listen on " + address.ip + ":" +
                           std::to_string(address.port) + ": " + why);
  }
  return listening;
}

Result<std::unique_ptr<TcpListener>> TcpListener::Listen(
    EventLoop& loop,
    const Address& address,
    std::function<void(int socket)> on_accept,
    std::size_t receive_bytes) {
  const Result<int> listening =
      OpenListeningSocket(address, kListenBacklog, receive_bytes);
  if (!listening) {
    return listening.error();
  }
  std::unique_ptr<TcpListener> listener(new TcpListener(loop));
  listener->socket = listening.value();
  listener->on_accept = std::move(on_accept);
  listener->watcher = std::make_unique<IoWatcher>(
      loop, listener->socket, IoWatcher::kRead,
      [listener_pointer = listener.get()](IoWatcher::Interest) {
        listener_pointer->AcceptUpTo(kMaxAcceptsPerCallback);
      });
  return listener;
}

void TcpListener::AcceptUpTo(int max_count) {
  for (int i = 0; i < max_count; ++i) {
    const int accepted =
        accept4(this->socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted >= 0) {
      this->on_accept(accepted);
      continue;
    }
    switch (errno) {
      case EAGAIN:
        return;
      case EMFILE:
      case ENFILE:
      case ENOBUFS:
      case ENOMEM:
        this->Pause();
        return;
      default:
        // Errors of one connection, such as ECONNABORTED, are returned by
        // accept as well. The connections behind it are unharmed.
        break;
    }
  }
}

void TcpListener::Pause() {
  this->watcher->SetInterest(IoWatcher::kNone);
  this->resume_timer = std::make_unique<Timer>(
      this->loop, kAcceptPause, Duration(0),
      [this] { this->watcher->SetInterest(IoWatcher::kRead); });
}

void TcpListener::RefuseNewConnections() {
  // The program is loaded at the start of the TCP header.
  constexpr std::uint32_t kFlagsOffset = 13;
  constexpr std::uint32_t kAllBytes = 0xffffffff;
  std::array<sock_filter, 5> program = {{
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
      BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TH_SYN | TH_ACK),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TH_SYN, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, 0),
      BPF_STMT(BPF_RET | BPF_K, kAllBytes),
  }};
  const sock_fprog filter{program.size(), program.data()};
  setsockopt(this->socket, SOL_SOCKET, SO_ATTACH_FILTER, &filter,
             sizeof(filter));
}

void TcpListener::AcceptAllPending() {
  this->AcceptUpTo(kMaxQueuedConnections);
}

TcpListener::~TcpListener() {
  this->resume_timer.reset();
  this->watcher.reset();
  if (this->socket >= 0) {
    close(this->socket);
  }
}

std::uint16_t TcpListener::Port() const {
  sockaddr_in socket_address{};
  socklen_t size = sizeof(socket_address);
  getsockname(this->socket, reinterpret_cast<sockaddr*>(&socket_address),
              &size);
  return ntohs(socket_address.sin_port);
}

}  // namespace toucanhollow
