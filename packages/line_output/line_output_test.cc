#include "line_output/line_output.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <string>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

// The two ends of a pipe or of a pair of sockets.
struct Channel {
  std::array<int, 2> ends{};

  explicit Channel(bool is_socket) {
    std::signal(SIGPIPE, SIG_IGN);
    // A write that blocks ends the test program.
    alarm(20);
    REQUIRE((is_socket ? socketpair(AF_UNIX, SOCK_STREAM, 0, this->ends.data())
                       : pipe(this->ends.data())) == 0);
  }
  ~Channel() {
    alarm(0);
    this->CloseReader();
    close(this->ends[1]);
  }
  int writer() const { return this->ends[1]; }
  void CloseReader() {
    if (this->ends[0] >= 0) {
      close(std::exchange(this->ends[0], -1));
    }
  }
  std::string ReadAll() const {
    fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 65536> buffer{};
    for (;;) {
      const ssize_t count = read(this->ends[0], buffer.data(), buffer.size());
      if (count <= 0) {
        return text;
      }
      text.append(buffer.data(), static_cast<std::size_t>(count));
    }
  }
};

// Guards against a loop that blocks when the reader of the log is slow, and
// against lines that are cut or mixed when it reads again.
TEST_CASE("a full output drops whole lines and blocks nobody") {
  const bool is_socket = GENERATE(false, true);
  const Channel channel(is_socket);
  LineOutput output(channel.writer());
  const std::string line(10000, 'x');
  int accepted = 0;
  while (output.WriteLine(line)) {
    ++accepted;
    REQUIRE(accepted < 10000);
  }
  CHECK_FALSE(output.WriteLine(line));
  std::string text = channel.ReadAll();
  CHECK(output.WriteLine("last"));
  text += channel.ReadAll();
  std::string expected;
  for (int i = 0; i < accepted; ++i) {
    expected += line + "\n";
  }
  CHECK((text == expected + "last\n"));
}

// Guards against other processes whose writes to the same pipe or socket fail
// because this process has made it non-blocking.
TEST_CASE("flags of a descriptor that others share stay as they are") {
  const bool is_socket = GENERATE(false, true);
  const Channel channel(is_socket);
  LineOutput output(channel.writer());
  CHECK(output.WriteLine("line"));
  CHECK((fcntl(channel.writer(), F_GETFL) & O_NONBLOCK) == 0);
}

// Guards against a process that ends, or that keeps lines for ever, once nobody
// reads its log, and against lines that are reported as written.
TEST_CASE("lines without a reader are dropped") {
  const bool is_socket = GENERATE(false, true);
  Channel channel(is_socket);
  LineOutput output(channel.writer());
  channel.CloseReader();
  CHECK_FALSE(output.WriteLine("line"));
  LineOutput opened_later(channel.writer());
  CHECK_FALSE(opened_later.WriteLine("line"));
}

// Guards against a write to a descriptor that is not open.
TEST_CASE("lines to a closed descriptor are dropped") {
  LineOutput output(-1);
  CHECK_FALSE(output.WriteLine("line"));
}

}  // namespace
}  // namespace toucanhollow
