#include "datagram/datagram_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace toucanhollow {
namespace {

// The largest payload of a UDP datagram over IPv4.
constexpr std::size_t kMaxDatagramBytes = 65507;
// Limits the datagrams read per callback, so that a flood cannot starve the
// loop's other watchers.
constexpr int kMaxDatagramsPerCallback = 128;

// Returns nothing if the address is not an IPv4 address.
std::optional<sockaddr_in> ToSockaddr(const Address& address) {
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.ip.c_str(), &socket_address.sin_addr) != 1) {
    return std::nullopt;
  }
  return socket_address;
}

Address ToAddress(const sockaddr_in& socket_address) {
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &socket_address.sin_addr, text.data(), text.size());
  return {text.data(), ntohs(socket_address.sin_port)};
}

}  // namespace

Result<std::unique_ptr<DatagramSocket>> DatagramSocket::Bind(
    EventLoop& loop,
    const Address& address,
    ReceiveCallback on_receive) {
  const std::optional<sockaddr_in> socket_address = ToSockaddr(address);
  if (!socket_address) {
    return MakeFailure(ResultCode::kSettingsInvalid,
                       "cannot bind UDP port " + std::to_string(address.port) +
                           " of '" + address.ip +
                           "', which is not an IPv4 address");
  }
  const int socket =
      ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket < 0 ||
      bind(socket, reinterpret_cast<const sockaddr*>(&*socket_address),
           sizeof(*socket_address)) != 0) {
    const std::string reason = std::strerror(errno);
    if (socket >= 0) {
      close(socket);
    }
    return MakeFailure(ResultCode::kSettingsInvalid,
                       "cannot bind UDP port " + std::to_string(address.port) +
                           " of " + address.ip + ": " + reason);
  }
  return std::unique_ptr<DatagramSocket>(
      new DatagramSocket(loop, socket, std::move(on_receive)));
}

DatagramSocket::DatagramSocket(EventLoop& loop,
                               int socket,
                               ReceiveCallback on_receive)
    : socket(socket),
      on_receive(std::move(on_receive)),
      watcher(std::make_unique<IoWatcher>(
          loop,
          socket,
          IoWatcher::kRead,
          [this](IoWatcher::Interest) { this->OnReadable(); })) {}

DatagramSocket::~DatagramSocket() {
  this->watcher.reset();
  close(this->socket);
}

void DatagramSocket::Send(const Address& to, std::string_view bytes) {
  const std::optional<sockaddr_in> socket_address = ToSockaddr(to);
  if (socket_address) {
    sendto(this->socket, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&*socket_address),
           sizeof(*socket_address));
  }
}

Address DatagramSocket::BoundAddress() const {
  sockaddr_in socket_address{};
  socklen_t size = sizeof(socket_address);
  getsockname(this->socket, reinterpret_cast<sockaddr*>(&socket_address),
              &size);
  return ToAddress(socket_address);
}

void DatagramSocket::OnReadable() {
  // All sockets of a thread share one buffer, because it is large and its
  // content is needed only during the callback.
  thread_local std::vector<char> buffer(kMaxDatagramBytes);
  // The callback may destroy this socket.
  const auto callback = this->on_receive;
  const std::weak_ptr<int> token = this->alive;
  for (int i = 0; i < kMaxDatagramsPerCallback && !token.expired(); ++i) {
    sockaddr_in socket_address{};
    socklen_t size = sizeof(socket_address);
    const ssize_t byte_count =
        recvfrom(this->socket, buffer.data(), buffer.size(), 0,
                 reinterpret_cast<sockaddr*>(&socket_address), &size);
    if (byte_count < 0) {
      return;
    }
    callback(ToAddress(socket_address),
             {buffer.data(), static_cast<std::size_t>(byte_count)});
  }
}

}  // namespace toucanhollow
