#include "datagram/datagram_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <string>
#include <utility>
#include <vector>

namespace toucanhollow {
namespace {

// The largest payload of a UDP datagram over IPv4.
constexpr std::size_t kMaxDatagram = 65507;
// Datagrams taken in one turn of the loop, so that a flood cannot starve the
// other watchers.
constexpr int kDatagramsPerTurn = 128;

sockaddr_in ToRaw(const Address& address) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &raw.sin_addr);
  return raw;
}

Address FromRaw(const sockaddr_in& raw) {
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &raw.sin_addr, text.data(), text.size());
  return {text.data(), ntohs(raw.sin_port)};
}

}  // namespace

Result<std::unique_ptr<DatagramSocket>> DatagramSocket::Bind(
    EventLoop& loop,
    const Address& address,
    Received received) {
  const int socket =
      ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in raw = ToRaw(address);
  if (socket < 0 ||
      bind(socket, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) != 0) {
    const std::string reason = std::strerror(errno);
    if (socket >= 0) {
      close(socket);
    }
    return MakeFailure(ResultCode::kSettingsInvalid,
                       "cannot bind UDP port " + std::to_string(address.port) +
                           " of " + address.ip + ": " + reason);
  }
  return std::unique_ptr<DatagramSocket>(
      new DatagramSocket(loop, socket, std::move(received)));
}

DatagramSocket::DatagramSocket(EventLoop& loop, int socket, Received received)
    : socket(socket),
      received(std::move(received)),
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
  const sockaddr_in raw = ToRaw(to);
  sendto(this->socket, bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&raw), sizeof(raw));
}

Address DatagramSocket::BoundAddress() const {
  sockaddr_in raw{};
  socklen_t size = sizeof(raw);
  getsockname(this->socket, reinterpret_cast<sockaddr*>(&raw), &size);
  return FromRaw(raw);
}

void DatagramSocket::OnReadable() {
  // One buffer for all sockets of the thread: it is large and used briefly.
  thread_local std::vector<char> buffer(kMaxDatagram);
  for (int i = 0; i < kDatagramsPerTurn; ++i) {
    sockaddr_in raw{};
    socklen_t size = sizeof(raw);
    const ssize_t got = recvfrom(this->socket, buffer.data(), buffer.size(), 0,
                                 reinterpret_cast<sockaddr*>(&raw), &size);
    if (got < 0) {
      return;
    }
    this->received(FromRaw(raw),
                   {buffer.data(), static_cast<std::size_t>(got)});
  }
}

}  // namespace toucanhollow
