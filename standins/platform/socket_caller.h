// SocketCaller: a caller whose socket is used outside the event loop, so that
// it can send while the host's loop does not run.
#ifndef STANDINS_PLATFORM_SOCKET_CALLER_H_
#define STANDINS_PLATFORM_SOCKET_CALLER_H_

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <string>
#include <string_view>

#include "base/address.h"
#include "base/time.h"
#include "http_stream/message_parser.h"

namespace toucanhollow {

class SocketCaller {
 public:
  enum class End { kOpen, kOrderly, kReset };

  // Connects. If that fails, the connection is as one that was reset.
  explicit SocketCaller(const Address& host)
      : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(host.port);
    inet_pton(AF_INET, host.ip.c_str(), &address.sin_addr);
    if (connect(this->socket, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
      this->connection_end = End::kReset;
    }
  }
  ~SocketCaller() { close(this->socket); }
  SocketCaller(const SocketCaller&) = delete;
  SocketCaller& operator=(const SocketCaller&) = delete;

  // Returns false if the kernel did not take all bytes.
  bool Send(std::string_view bytes) {
    const ssize_t sent = send(this->socket, bytes.data(), bytes.size(),
                              MSG_NOSIGNAL | MSG_DONTWAIT);
    // The kernel reports a reset once, to whichever call comes first.
    this->send_failed = this->send_failed || (sent < 0 && errno != EAGAIN);
    return sent == static_cast<ssize_t>(bytes.size());
  }
  // Shuts the sending side down.
  void HalfClose() { shutdown(this->socket, SHUT_WR); }
  // Reads what has arrived.
  void Poll() {
    std::array<char, 4096> buffer{};
    while (this->connection_end == End::kOpen) {
      const ssize_t count =
          recv(this->socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
      if (count > 0) {
        this->parser.Feed({buffer.data(), static_cast<std::size_t>(count)});
      } else if (count == 0) {
        this->connection_end = End::kOrderly;
        this->parser.FeedEndOfStream();
      } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
        return;
      } else if (errno != EINTR) {
        this->connection_end = End::kReset;
      }
    }
  }
  // Waits until there is something to read, or the time has passed.
  void WaitForData(Duration time) const {
    pollfd watched{this->socket, POLLIN, 0};
    poll(&watched, 1, static_cast<int>(ToMilliseconds(time)));
  }
  // How the connection has ended, as of the last Poll.
  End end() const {
    return this->send_failed ? End::kReset : this->connection_end;
  }
  // Makes `parser` ready for the next response.
  void ExpectResponse() { this->parser = ResponseParser(true); }
  // Status of the whole response that has arrived, or 0.
  int status() const {
    return this->parser.done() ? this->parser.head().status : 0;
  }

  ResponseParser parser{true};

 private:
  int socket;
  End connection_end = End::kOpen;
  bool send_failed = false;
};

}  // namespace toucanhollow

#endif  // STANDINS_PLATFORM_SOCKET_CALLER_H_
