#include "relay/max_sessions.h"

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

// Guards against a process that starts with a limit that the settings allow and
// then refuses everyone.
TEST_CASE("each allowed limit of descriptors leaves room for callers") {
  CHECK(MaxSessions(64) == 16);
  std::size_t previous = 0;
  for (std::size_t descriptors = 64; descriptors < 2000; ++descriptors) {
    const std::size_t sessions = MaxSessions(descriptors);
    CHECK(sessions >= previous);
    previous = sessions;
  }
}

// Guards against sessions that use up the descriptors of everything else.
TEST_CASE(
    "the usual limits keep a fixed number of descriptors for other uses") {
  CHECK(MaxSessions(1024) == 382);
  CHECK(MaxSessions(4200) == 1970);
}

}  // namespace
}  // namespace toucanhollow
