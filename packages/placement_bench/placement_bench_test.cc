#include <algorithm>
#include <numeric>

#include <catch2/catch.hpp>

#include "placement_bench/popularity_model.h"
#include "placement_bench/simulate.h"

namespace toucanhollow {
namespace {

// Guards against a popularity model that is flat or still, which would make
// every policy look alike.
TEST_CASE("popularity is skewed and drifts") {
  PopularityModel model({}, 64, 1);
  const auto before = model.Shares();
  CHECK(std::accumulate(before.begin(), before.end(), 0.0) == Approx(1));
  CHECK(std::ranges::max(before) > 1.8 / 64);
  for (int i = 0; i < 7200; ++i) {
    model.Advance(0.5);
  }
  const auto after = model.Shares();
  double moved = 0;
  for (std::size_t i = 0; i < before.size(); ++i) {
    moved += std::abs(after[i] - before[i]) / 2;
  }
  CHECK(moved > 0.05);
}

// Guards against a measurement that differs between runs, and against a
// planned policy that does worse than no policy.
TEST_CASE("a seed gives the same figures, and planning lowers the skew") {
  GroupParameters group;
  group.hours = 0.25;
  const SkewReport never = Simulate(group, {Policy::kNever, "", 0, 0}, 3);
  const SkewReport first = Simulate(group, {Policy::kPlanned, "", 0, 0}, 3);
  const SkewReport second = Simulate(group, {Policy::kPlanned, "", 0, 0}, 3);
  CHECK(first.p95 == second.p95);
  CHECK(first.gigabytes_per_hour == second.gigabytes_per_hour);
  CHECK(first.p50 < never.p50);
}

}  // namespace
}  // namespace toucanhollow
