#include "json_log/json_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

// Guards against log injection: a value that ends its field or its line early.
TEST_CASE("string values are escaped") {
  std::vector<std::string> lines;
  StartJsonLogTo([&lines](std::string_view line) { lines.emplace_back(line); },
                 "p", {});
  LogJson("e", {{"text", "a\"b\\c\nd"}, {"n", 3}, {"x", 1.5}, {"yes", true}},
          WallTime(Milliseconds(1500)), TimePoint(Seconds(1)));
  REQUIRE(lines.size() == 1);
  CHECK(lines[0] ==
        "{\"time\":1.500,\"process\":\"p\",\"event\":\"e\","
        "\"text\":\"a\\\"b\\\\c\\u000ad\",\"n\":3,\"x\":1.500,\"yes\":true}");
}

// Guards against a log volume that grows with the load without limit.
TEST_CASE("lines beyond the rate limit are dropped and counted") {
  std::vector<std::string> lines;
  StartJsonLogTo([&lines](std::string_view line) { lines.emplace_back(line); },
                 "p", {10, 5});
  const TimePoint start(Seconds(1));
  for (int i = 0; i < 100; ++i) {
    LogJson("e", {}, {}, start);
  }
  CHECK(lines.size() == 5);
  LogJson("late", {}, {}, start + Seconds(1));
  REQUIRE(lines.size() == 7);
  CHECK(lines[5].find("\"event\":\"log_dropped\",\"lines\":95") !=
        std::string::npos);
}

// Guards against other processes that write to the same standard output, as the
// shell that started this one, and fail because it has become non-blocking; and
// against a loop that blocks once nobody reads it.
TEST_CASE("a full standard output is shared, drops lines and blocks nobody") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  const int before = dup(STDOUT_FILENO);
  REQUIRE(dup2(ends[1], STDOUT_FILENO) == STDOUT_FILENO);
  // A write that blocks ends the test program.
  alarm(20);
  StartJsonLog("p", {1e6, 1e6});
  const std::string text(1000, 'x');
  for (int i = 0; i < 1000; ++i) {
    LogJson("e", {{"text", text}}, {}, TimePoint(Seconds(1)));
  }
  alarm(0);
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  StartJsonLogTo([](std::string_view) {}, "p", {});
  REQUIRE(dup2(before, STDOUT_FILENO) == STDOUT_FILENO);
  close(before);
  CHECK((flags & O_NONBLOCK) == 0);
  close(ends[0]);
  close(ends[1]);
}

}  // namespace
}  // namespace toucanhollow
