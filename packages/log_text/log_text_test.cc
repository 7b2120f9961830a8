#include <unistd.h>

#include <array>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "log_text/log.h"

namespace toucanhollow {
namespace {

// Guards against lines below the level, and against input that forges a line.
TEST_CASE("lines have the component's prefix and respect the level") {
  std::vector<std::string> lines;
  StartLogTo([&](std::string_view line) { lines.emplace_back(line); },
             Severity::kInfo);
  Log(Severity::kDebug, "link", "hidden");
  Log(Severity::kInfo, "link", "connected to draft-1");
  Log(Severity::kWarning, "caller", "bad path /a\nINFO [x] forged");
  CHECK(lines == std::vector<std::string>{
                     "INFO [link] connected to draft-1",
                     "WARNING [caller] bad path /a?INFO [x] forged"});
}

// Guards against a process that stands still because nobody reads its log.
TEST_CASE("a full standard error blocks nobody") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  const int before = dup(STDERR_FILENO);
  REQUIRE(dup2(ends[1], STDERR_FILENO) == STDERR_FILENO);
  StartLog("p", Severity::kInfo);
  // A write that blocks ends the test program.
  alarm(10);
  const std::string text(1000, 'x');
  for (int i = 0; i < 1000; ++i) {
    Log(Severity::kInfo, "link", text);
  }
  alarm(0);
  StartLogTo([](std::string_view) {}, Severity::kInfo);
  REQUIRE(dup2(before, STDERR_FILENO) == STDERR_FILENO);
  close(before);
  close(ends[0]);
  close(ends[1]);
}

}  // namespace
}  // namespace toucanhollow
