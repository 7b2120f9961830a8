#include "traffic/server_limit.h"

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

TimePoint At(std::int64_t ms) {
  return TimePoint(Milliseconds(ms));
}

ServerLimit Named(double per_s, std::int64_t ms) {
  return {ServerLimitKind::kNamed, per_s, At(ms)};
}

ServerLimit Withdrawn(std::int64_t ms) {
  return {ServerLimitKind::kWithdrawn, 0, At(ms)};
}

// Guards against a limit that is lifted by an answer that was sent before the
// limit was named, and against one that is never lifted.
TEST_CASE("the latest statement on a limit counts") {
  const LimitField absent;
  const LimitField named{LimitFieldKind::kNamed, 2.3};
  CHECK(FindStatement(named, At(5), At(40)) == Named(2.3, 40));
  CHECK(FindStatement(absent, At(5), At(60)) == Withdrawn(5));
  CHECK_FALSE(FindStatement({LimitFieldKind::kMalformed, 0}, At(5), At(60)));
  CHECK(FindStatement({LimitFieldKind::kNamed, 1e9}, At(5), At(40)) ==
        Named(kMaxServerLimitPerS, 40));
  for (const bool swapped : {false, true}) {
    const auto later = [swapped](const ServerLimit& a, const ServerLimit& b) {
      return swapped ? LaterLimit(b, a) : LaterLimit(a, b);
    };
    CHECK(later(Named(2.3, 40), Withdrawn(5)) == Named(2.3, 40));
    CHECK(later(Named(2.3, 40), Withdrawn(41)) == Withdrawn(41));
    CHECK(later(Named(2.3, 40), Withdrawn(40)) == Named(2.3, 40));
    CHECK(later(Named(2.3, 40), Named(9, 50)) == Named(9, 50));
    CHECK(later(Named(2.3, 40), Named(9, 40)) == Named(2.3, 40));
  }
}

TEST_CASE("a limit is the same one whenever it was named") {
  CHECK(IsSameLimit(std::nullopt, Withdrawn(3)));
  CHECK(IsSameLimit(Named(2, 1), Named(2, 9)));
  CHECK_FALSE(IsSameLimit(Named(2, 1), Named(3, 1)));
  CHECK_FALSE(IsSameLimit(std::nullopt, Named(2, 1)));
}

}  // namespace
}  // namespace toucanhollow
