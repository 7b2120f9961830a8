#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "http_stream/tcp_connection.h"

namespace toucanhollow {
namespace {

constexpr int kThreads = 3;
constexpr int kRounds = 10;
// Longest time that a caller waits for a connection.
constexpr timeval kConnectTime{0, 100000};
// Enough for connections that are being established on a busy machine.
constexpr Duration kHandshakeTime = Milliseconds(30);

void RunFor(EventLoop& loop, Duration duration) {
  const Timer end(loop, duration, Duration(0), [&loop] { loop.Stop(); });
  loop.Run();
}

// Connects until it fails. Returns the number of connections.
int ConnectRepeatedly(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  for (int count = 0;; ++count) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &kConnectTime,
               sizeof(kConnectTime));
    // A reset frees the port at once.
    const linger reset_on_close{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof(reset_on_close));
    const bool connected =
        connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0;
    close(fd);
    if (!connected) {
      return count;
    }
  }
}

// Guards against connections that the kernel establishes between the last
// accept and the close of the listening socket.
TEST_CASE("every connection that is established is accepted") {
  EventLoop loop;
  int accepted = 0;
  std::atomic<int> connected = 0;
  for (int round = 0; round < kRounds; ++round) {
    auto listening =
        TcpListener::Listen(loop, {"127.0.0.1", 0}, [&accepted](int socket) {
          ++accepted;
          close(socket);
        });
    REQUIRE(listening.has_value());
    std::unique_ptr<TcpListener> listener = std::move(listening.value());
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int i = 0; i < kThreads; ++i) {
      threads.emplace_back([&connected, port = listener->Port()] {
        connected += ConnectRepeatedly(port);
      });
    }
    RunFor(loop, Milliseconds(3));
    listener->RefuseNewConnections();
    RunFor(loop, kHandshakeTime);
    listener->AcceptAllPending();
    listener.reset();
    for (std::thread& thread : threads) {
      thread.join();
    }
  }
  CHECK(connected > kRounds);
  CHECK(accepted == connected);
}

}  // namespace
}  // namespace toucanhollow
