#include <fcntl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ctime>
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

}  // namespace
}  // namespace toucanhollow
