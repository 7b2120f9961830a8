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

}  // namespace
}  // namespace toucanhollow
