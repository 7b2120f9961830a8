#include "json_log/json_log.h"

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

}  // namespace
}  // namespace toucanhollow
