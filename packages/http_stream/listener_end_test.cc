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
// Callers leave room in the backlog. The kernel drops the last packet of a
// handshake that finds it full, and the caller alone has a connection then.
constexpr int kMaxPending = 300;
constexpr Duration kPollPeriod = Duration(50);
constexpr int kMaxPolls = 2000;

void RunFor(EventLoop& loop, Duration duration) {
  const Timer end(loop, duration, Duration(0), [&loop] { loop.Stop(); });
  loop.Run();
}

struct ConnectionCounts {
  std::atomic<int> connected = 0;
  std::atomic<int> accepted = 0;
};

// Returns false if the backlog stays filled because nobody accepts.
bool WaitForBacklog(const ConnectionCounts& counts) {
  for (int polls = 0; counts.connected - counts.accepted >= kMaxPending;
       ++polls) {
    if (polls >= kMaxPolls) {
      return false;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return true;
}

// Connects once, and resets the connection. Returns false on failure.
bool Connect(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &kConnectTime, sizeof(kConnectTime));
  // A reset frees the port at once.
  const linger reset_on_close{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
             sizeof(reset_on_close));
  const bool connected =
      connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0;
  close(fd);
  return connected;
}

// Guards against connections that the kernel establishes between the last
// accept and the close of the listening socket.
TEST_CASE("every connection that is established is accepted") {
  EventLoop loop;
  ConnectionCounts counts;
  for (int round = 0; round < kRounds; ++round) {
    auto listening =
        TcpListener::Listen(loop, {"127.0.0.1", 0}, [&counts](int socket) {
          ++counts.accepted;
          close(socket);
        });
    REQUIRE(listening.has_value());
    std::unique_ptr<TcpListener> listener = std::move(listening.value());
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int i = 0; i < kThreads; ++i) {
      threads.emplace_back([&counts, port = listener->Port()] {
        while (WaitForBacklog(counts) && Connect(port)) {
          ++counts.connected;
        }
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
  CHECK(counts.connected > kRounds);
  CHECK(counts.accepted == counts.connected);
}

// Guards against connections that stay in a full backlog and are reset by the
// close: the kernel queues one more than the number passed to listen.
TEST_CASE("all connections of a full backlog are accepted") {
  EventLoop loop;
  int accepted = 0;
  auto listening =
      TcpListener::Listen(loop, {"127.0.0.1", 0}, [&accepted](int socket) {
        ++accepted;
        close(socket);
      });
  REQUIRE(listening.has_value());
  std::unique_ptr<TcpListener> listener = std::move(listening.value());
  // The loop does not run, so that connections are queued until one fails.
  int connected = 0;
  while (Connect(listener->Port())) {
    ++connected;
  }
  listener->RefuseNewConnections();
  listener->AcceptAllPending();
  CHECK(connected > 1);
  CHECK(accepted == connected);
}

}  // namespace
}  // namespace toucanhollow
