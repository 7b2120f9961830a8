#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <ctime>
#include <fstream>
#include <memory>
#include <vector>

#include <catch2/catch.hpp>

#include "http_stream/tcp_connection.h"

namespace toucanhollow {
namespace {

// Takes all descriptors that the process may still open, below a low limit.
class DescriptorShortage {
 public:
  DescriptorShortage() {
    getrlimit(RLIMIT_NOFILE, &this->before);
    rlimit low = this->before;
    low.rlim_cur = 100;
    REQUIRE(setrlimit(RLIMIT_NOFILE, &low) == 0);
    for (int opened = open("/dev/null", O_RDONLY); opened >= 0;
         opened = open("/dev/null", O_RDONLY)) {
      this->taken.push_back(opened);
    }
  }
  ~DescriptorShortage() {
    this->End();
    setrlimit(RLIMIT_NOFILE, &this->before);
  }
  DescriptorShortage(const DescriptorShortage&) = delete;
  DescriptorShortage& operator=(const DescriptorShortage&) = delete;

  void End() {
    for (const int descriptor : this->taken) {
      close(descriptor);
    }
    this->taken.clear();
  }

 private:
  rlimit before{};
  std::vector<int> taken;
};

void RunFor(EventLoop& loop, Duration duration) {
  const Timer end(loop, duration, Duration(0), [&loop] { loop.Stop(); });
  loop.Run();
}

// Guards against a loop that does nothing but fail to accept while the process
// has no free descriptor, and against connections that are then forgotten.
TEST_CASE("a listener without descriptors waits and accepts later") {
  EventLoop loop;
  std::vector<int> accepted;
  auto listening = TcpListener::Listen(
      loop, {"127.0.0.1", 0}, [&](int socket) { accepted.push_back(socket); });
  REQUIRE(listening.has_value());
  TcpConnection caller(loop, {"127.0.0.1", listening.value()->Port()});
  DescriptorShortage shortage;
  const std::clock_t begin = std::clock();
  RunFor(loop, Milliseconds(500));
  const double used_s =
      static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
  const std::size_t accepted_early = accepted.size();
  shortage.End();
  CHECK(accepted_early == 0);
  CHECK(used_s < 0.1);
  RunFor(loop, Milliseconds(500));
  CHECK(accepted.size() == 1);
  for (const int socket : accepted) {
    close(socket);
  }
}

// Guards against callers that cannot connect, or alone have a connection, while
// the process gets no processor time for a moment.
TEST_CASE("a burst of callers is queued while the loop does not run") {
  int most_queued = 0;
  REQUIRE(std::ifstream("/proc/sys/net/core/somaxconn") >> most_queued);
  const int count = std::min(800, most_queued);
  EventLoop loop;
  int accepted = 0;
  const auto listening =
      TcpListener::Listen(loop, {"127.0.0.1", 0}, [&](int socket) {
        ++accepted;
        close(socket);
      });
  REQUIRE(listening.has_value());
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(listening.value()->Port());
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  std::vector<int> callers(count);
  int connected = 0;
  for (int& caller : callers) {
    caller = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    REQUIRE(caller >= 0);
    const bool begun =
        connect(caller, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0 ||
        errno == EINPROGRESS;
    REQUIRE(begun);
    pollfd established{caller, POLLOUT, 0};
    connected += poll(&established, 1, 20);
  }
  CHECK(connected == count);
  RunFor(loop, Milliseconds(200));
  CHECK(accepted == connected);
  for (const int caller : callers) {
    close(caller);
  }
}

}  // namespace
}  // namespace toucanhollow
