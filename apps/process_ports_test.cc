// Starts of the real program while one of its ports is held.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "apps/process_site.h"
#include "datagram/datagram_socket.h"
#include "standins/platform/relay_site.h"

namespace toucanhollow {
namespace {

std::string RequestAndClose(const std::string& id) {
  return Request("GET", "/s/x", id, "Connection: close\r\n");
}

std::string AskForMetrics(const TestProcess& process) {
  return AskAsSoonAsItListens(
      process.ip, kMetricsPort,
      "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", [] {});
}

std::unique_ptr<TcpListener> HoldPort(EventLoop& loop,
                                      const std::string& ip,
                                      std::uint16_t port) {
  auto listener =
      TcpListener::Listen(loop, {ip, port}, [](int socket) { close(socket); });
  REQUIRE(listener);
  return std::move(listener).value();
}

// A connection of another program whose local port is the one that a process
// listens on.
struct EphemeralPort {
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  EphemeralPort(const std::string& ip, std::uint16_t port, std::uint16_t to) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const auto* raw = reinterpret_cast<const sockaddr*>(&address);
    REQUIRE(bind(this->socket, raw, sizeof(address)) == 0);
    address.sin_port = htons(to);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(this->socket, raw, sizeof(address)) == 0);
  }
  ~EphemeralPort() {
    // A reset leaves no connection in TIME_WAIT.
    const linger reset{.l_onoff = 1, .l_linger = 0};
    setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    close(this->socket);
  }
  EphemeralPort(const EphemeralPort&) = delete;
  EphemeralPort& operator=(const EphemeralPort&) = delete;
};

// Guards against a relay that exits because the one before it still drains.
TEST_CASE("a relay takes over from one that drains on the same ports") {
  Site site;
  site.Configure();
  TestProcess first(ProcessRole::kRelay, 1, site.store.Port());
  TestProcess second(ProcessRole::kRelay, 1, site.store.Port());
  first.Start();
  REQUIRE(site.RunUntil([&] { return first.HasStarted(); }, Seconds(20)));
  std::atomic<bool> finished = false;
  std::atomic<int> unanswered = 0;
  std::atomic<int> answered = 0;
  std::thread caller([&] {
    for (int id = 1; !finished; ++id) {
      const std::string answer = AskAsSoonAsItListens(
          first.ip, kCallerPort, RequestAndClose("r" + std::to_string(id)),
          [] {});
      (answer.starts_with("HTTP/1.1 ") ? answered : unanswered) += 1;
      std::this_thread::sleep_for(Milliseconds(5));
    }
  });
  site.RunUntil([&] { return answered > 0; });
  first.Signal(SIGTERM);
  second.Start();
  bool started_early = false;
  site.RunUntil(
      [&] {
        // The first one closes its ports after this line and may end later.
        started_early =
            started_early || (second.HasStarted() &&
                              first.CountInLog("\"event\":\"exiting\"") == 0);
        return !first.IsRunning() || !second.IsRunning();
      },
      Seconds(20));
  CHECK_FALSE(started_early);
  CHECK(first.HasExitedWith(0));
  CHECK(second.IsRunning());
  CHECK(site.RunUntil([&] { return second.HasStarted(); }, Seconds(20)));
  const int before = answered;
  site.RunUntil([&] { return answered > before; });
  finished = true;
  site.RunUntil([&] { return false; }, Milliseconds(50));
  caller.join();
  INFO(second.Log());
  CHECK(answered > before);
  CHECK(unanswered == 0);
  CHECK(second.CountInLog("\"event\":\"start_delayed\"") > 0);
}

// Guards against an agent that exits because the one before it is not gone.
TEST_CASE("an agent takes over from one that is killed on the same ports") {
  TestProcess first(ProcessRole::kRankAgent, 1);
  TestProcess second(ProcessRole::kRankAgent, 1);
  first.Start();
  REQUIRE(first.WaitForStart());
  second.Start();
  REQUIRE(WaitUntil([&] {
    return second.CountInLog("start_delayed") > 0 || !second.IsRunning();
  }));
  CHECK_FALSE(second.HasStarted());
  first.Signal(SIGKILL);
  CHECK(second.WaitForStart());
  CHECK(AskForMetrics(second).starts_with("HTTP/1.1 200"));
}

// Guards against a process that does not serve because only its metrics port is
// held.
TEST_CASE("a process serves while its metrics port is held") {
  EventLoop loop;
  for (const ProcessRole role :
       {ProcessRole::kRelay, ProcessRole::kRankAgent}) {
    TestProcess process(role, 1);
    auto holder = HoldPort(loop, process.ip, kMetricsPort);
    process.Start();
    REQUIRE(process.WaitForStart());
    if (role == ProcessRole::kRelay) {
      CHECK(AskAsSoonAsItListens(process.ip, kCallerPort, RequestAndClose("a"),
                                 [] {})
                .starts_with("HTTP/1.1 503"));
    }
    CHECK(process.CountInLog("metrics_delayed") == 1);
    holder.reset();
    CHECK(WaitUntil([&] { return process.CountInLog("metrics_opened") == 1; }));
    CHECK(AskForMetrics(process).starts_with("HTTP/1.1 200"));
    CHECK(process.IsRunning());
  }
}

// Guards against a process that exits because a connection of another program
// was given its port.
TEST_CASE("a process waits for a port that a connection uses") {
  EventLoop loop;
  const auto target = HoldPort(loop, "127.0.0.1", 0);
  // Addresses without connections in TIME_WAIT, which could not be bound.
  int number = 100;
  for (const ProcessRole role :
       {ProcessRole::kRelay, ProcessRole::kEntryHost, ProcessRole::kEndpoint}) {
    TestProcess process(role, number++);
    {
      const EphemeralPort holder(process.ip, kCallerPort, target->Port());
      process.Start();
      REQUIRE(WaitUntil([&] {
        return process.CountInLog("start_delayed") > 0 || !process.IsRunning();
      }));
      REQUIRE(process.IsRunning());
    }
    CHECK(process.WaitForStart());
  }
}

// Guards against a process that takes requests without the ports that it needs
// for them, and against one that cannot be stopped meanwhile.
TEST_CASE("a process without a needed port is not ready and can be stopped") {
  EventLoop loop;
  for (const ProcessRole role :
       {ProcessRole::kRelay, ProcessRole::kRankAgent}) {
    TestProcess process(role, 1);
    const auto holder = DatagramSocket::Bind(loop, {process.ip, kReportPort},
                                             [](const Address&, auto) {});
    REQUIRE(holder);
    process.Start();
    REQUIRE(WaitUntil([&] {
      return process.CountInLog("start_delayed") == 1 || !process.IsRunning();
    }));
    std::this_thread::sleep_for(Milliseconds(300));
    INFO(process.Log());
    CHECK(process.IsRunning());
    CHECK_FALSE(process.HasStarted());
    for (const std::uint16_t port : {kCallerPort, kReadinessPort}) {
      // The port can be bound, so that the process does not listen on it.
      CHECK(HoldPort(loop, process.ip, port) != nullptr);
    }
    process.Signal(SIGTERM);
    CHECK(WaitUntil([&] { return !process.IsRunning(); }));
    CHECK(process.HasExitedWith(0));
    CHECK(process.CountInLog("start_delayed") == 1);
  }
}

}  // namespace
}  // namespace toucanhollow
