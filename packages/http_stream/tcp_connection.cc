#include "http_stream/tcp_connection.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace toucanhollow {
namespace {

// One read takes at most this much, so that one peer cannot hold the loop.
constexpr std::size_t kReadBytes = std::size_t{32} * 1024;
// Connections accepted in one turn of the loop.
constexpr int kAcceptsPerTurn = 32;
constexpr int kBacklog = 511;
// Unacknowledged bytes fail the connection after it. Callers wait 8 s at
// most, so a peer that is silent this long is of no use to them.
constexpr unsigned int kUserTimeoutMs = 3000;

void ConfigureSocket(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs,
             sizeof(kUserTimeoutMs));
}

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &raw.sin_addr);
  return raw;
}

}  // namespace

struct TcpConnection::State : std::enable_shared_from_this<State> {
  EventLoop& loop;
  int socket = -1;
  bool connected = false;
  bool ended = false;
  bool reading = true;
  bool any_sent = false;
  std::string out;
  std::size_t out_taken = 0;
  IoWatcher::Interest interest = IoWatcher::kNone;
  std::unique_ptr<IoWatcher> watcher;
  ConnectionCallbacks callbacks;

  State(EventLoop& loop, int socket) : loop(loop), socket(socket) {}
  ~State() { this->Close(); }

  void Watch();
  void Close();
  void End(ConnectionEnd end);
  void OnReady(IoWatcher::Interest ready);
  void FinishConnect();
  void Flush();
  void Read();
  void UpdateInterest();
};

void TcpConnection::State::Watch() {
  this->interest = this->connected ? IoWatcher::kRead : IoWatcher::kWrite;
  this->watcher = std::make_unique<IoWatcher>(
      this->loop, this->socket, this->interest,
      [this](IoWatcher::Interest ready) { this->OnReady(ready); });
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
  const bool wants_write =
      !this->connected || this->out_taken < this->out.size();
  const bool wants_read = this->connected && this->reading;
  const auto wanted =
      static_cast<IoWatcher::Interest>((wants_read ? IoWatcher::kRead : 0) |
                                       (wants_write ? IoWatcher::kWrite : 0));
  if (wanted != this->interest) {
    this->interest = wanted;
    this->watcher->SetInterest(wanted);
  }
}

void TcpConnection::State::OnReady(IoWatcher::Interest ready) {
  const auto keep = this->shared_from_this();
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

void TcpConnection::State::Flush() {
  while (!this->ended && this->out_taken < this->out.size()) {
    const ssize_t sent = send(this->socket, this->out.data() + this->out_taken,
                              this->out.size() - this->out_taken, MSG_NOSIGNAL);
    if (sent > 0) {
      this->any_sent = true;
      this->out_taken += static_cast<std::size_t>(sent);
      continue;
    }
    if (sent < 0 && errno == EINTR) {
      continue;
    }
    if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      break;
    }
    this->End(ConnectionEnd::kReset);
    return;
  }
  const bool drained = this->out_taken == this->out.size();
  if (drained && !this->out.empty()) {
    this->out.clear();
    this->out_taken = 0;
  }
  this->UpdateInterest();
  if (drained && !this->ended && this->callbacks.on_drained) {
    const auto callback = this->callbacks.on_drained;
    callback();
  }
}

void TcpConnection::State::Read() {
  static thread_local std::array<char, kReadBytes> buffer;
  const ssize_t got = recv(this->socket, buffer.data(), buffer.size(), 0);
  if (got > 0) {
    if (this->callbacks.on_data) {
      const auto callback = this->callbacks.on_data;
      callback({buffer.data(), static_cast<std::size_t>(got)});
    }
    return;
  }
  if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
    return;
  }
  this->End(got == 0 ? ConnectionEnd::kOrderly : ConnectionEnd::kReset);
}

TcpConnection::TcpConnection(EventLoop& loop, int socket)
    : state(std::make_shared<State>(loop, socket)) {
  ConfigureSocket(socket);
  this->state->connected = true;
  this->state->Watch();
}

TcpConnection::TcpConnection(EventLoop& loop, const Address& address)
    : state(std::make_shared<State>(loop, -1)) {
  State& state = *this->state;
  state.socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in raw = ToSocketAddress(address);
  const bool begun =
      state.socket >= 0 &&
      (connect(state.socket, reinterpret_cast<const sockaddr*>(&raw),
               sizeof(raw)) == 0 ||
       errno == EINPROGRESS);
  if (!begun) {
    Post(loop, [weak = std::weak_ptr<State>(this->state)] {
      if (const auto live = weak.lock()) {
        live->End(ConnectionEnd::kNotConnected);
      }
    });
    return;
  }
  ConfigureSocket(state.socket);
  state.Watch();
}

TcpConnection::~TcpConnection() {
  this->state->ended = true;
  this->state->callbacks = {};
  this->state->Close();
}

void TcpConnection::ResetOnClose() {
  const linger at_once{1, 0};
  if (this->state->socket >= 0) {
    setsockopt(this->state->socket, SOL_SOCKET, SO_LINGER, &at_once,
               sizeof(at_once));
  }
}

void TcpConnection::SetCallbacks(ConnectionCallbacks callbacks) {
  this->state->callbacks = std::move(callbacks);
}

void TcpConnection::Write(std::string_view bytes) {
  State& state = *this->state;
  if (state.ended || bytes.empty()) {
    return;
  }
  state.out.append(bytes);
  if (!state.connected) {
    return;
  }
  // Errors are reported later, so that callers never lose themselves inside
  // Write.
  while (state.out_taken < state.out.size()) {
    const ssize_t sent = send(state.socket, state.out.data() + state.out_taken,
                              state.out.size() - state.out_taken, MSG_NOSIGNAL);
    if (sent <= 0) {
      break;
    }
    state.any_sent = true;
    state.out_taken += static_cast<std::size_t>(sent);
  }
  if (state.out_taken == state.out.size()) {
    state.out.clear();
    state.out_taken = 0;
  }
  state.UpdateInterest();
}

std::size_t TcpConnection::unsent() const {
  return this->state->out.size() - this->state->out_taken;
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

Result<std::unique_ptr<TcpListener>> TcpListener::Listen(
    EventLoop& loop,
    const Address& address,
    std::function<void(int socket)> on_accept) {
  std::unique_ptr<TcpListener> listener(new TcpListener());
  listener->socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener->socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in raw = ToSocketAddress(address);
  if (listener->socket < 0 ||
      bind(listener->socket, reinterpret_cast<const sockaddr*>(&raw),
           sizeof(raw)) != 0 ||
      listen(listener->socket, kBacklog) != 0) {
    return MakeFailure(ResultCode::kSettingsInvalid,
                       "cannot listen on " + address.ip + ":" +
                           std::to_string(address.port) + ": " +
                           std::strerror(errno));
  }
  listener->on_accept = std::move(on_accept);
  listener->watcher =
      std::make_unique<IoWatcher>(loop, listener->socket, IoWatcher::kRead,
                                  [raw = listener.get()](IoWatcher::Interest) {
                                    raw->Take(kAcceptsPerTurn);
                                  });
  return listener;
}

void TcpListener::Take(int most) {
  for (int i = 0; i < most; ++i) {
    const int accepted =
        accept4(this->socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) {
      return;
    }
    this->on_accept(accepted);
  }
}

void TcpListener::TakeAll() {
  this->Take(kBacklog);
}

TcpListener::~TcpListener() {
  this->watcher.reset();
  if (this->socket >= 0) {
    close(this->socket);
  }
}

std::uint16_t TcpListener::Port() const {
  sockaddr_in raw{};
  socklen_t size = sizeof(raw);
  getsockname(this->socket, reinterpret_cast<sockaddr*>(&raw), &size);
  return ntohs(raw.sin_port);
}

}  // namespace toucanhollow
