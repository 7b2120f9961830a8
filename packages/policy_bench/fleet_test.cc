#include <algorithm>

#include <catch2/catch.hpp>

#include "policy_bench/fleet.h"
#include "policy_bench/summary.h"

namespace toucanhollow {
namespace {

FleetConfig SmallFleet() {
  FleetConfig config;
  config.seed = 3;
  config.endpoints = {2, 2};
  config.entry_hosts = 3;
  config.engine.full_limit = 8;
  config.mix.rate_per_s = 6;
  config.duration = Seconds(40);
  config.outage = {0, Seconds(15), Seconds(25), false};
  return config;
}

// Guards against figures that change from run to run.
TEST_CASE("a run with a seed repeats exactly") {
  const FleetResult result = RunFleet(SmallFleet());
  CHECK(result == RunFleet(SmallFleet()));
  CHECK(result.requests.size() > 200);
}

// Guards against a break between the deciding packages that their own tests do
// not show: a lost request, work in a data centre that is out, or an endpoint
// with more than it bears.
TEST_CASE("a data centre leaves and returns without a lost request") {
  const FleetResult result = RunFleet(SmallFleet());
  const WindowSummary all = SummarizeWindow(result, Duration(0), Seconds(100));
  CHECK(all.lost == 0);
  CHECK(all.unknown == 0);
  CHECK(all.in_time_share >= 0.999);
  CHECK(result.starts_after_bound == 0);
  CHECK(result.starts_beyond == 0);
  CHECK(result.engine_failures == 0);
}

}  // namespace
}  // namespace toucanhollow
