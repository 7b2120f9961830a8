#include "cold_start_bench/simulate.h"

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

constexpr FleetEvent kEvents[] = {
    FleetEvent::kNone, FleetEvent::kPowerLoss, FleetEvent::kSplit,
    FleetEvent::kDifferingViews, FleetEvent::kLateConnections};

// The comparison of the policies must be able to show a fault, and that the
// chosen policy has none.
TEST_CASE("permits keep the bound in every event, and shares do not") {
  for (const FleetEvent event : kEvents) {
    INFO(FleetEventName(event));
    CHECK(SimulateFlood(ColdPolicy::kPermits, event, 100, 1) <= 26);
    CHECK(SimulateFlood(ColdPolicy::kShareWithMinimum, event, 100, 1) > 26);
  }
}

TEST_CASE("permits keep a server's limit in every event, shares do not") {
  for (const FleetEvent event : kEvents) {
    INFO(FleetEventName(event));
    CHECK(SimulateLimit(ColdPolicy::kPermits, event, 100, 1) <= 17);
    CHECK(SimulateLimit(ColdPolicy::kShareWithMinimum, event, 100, 1) > 17);
  }
}

TEST_CASE("a sound fleet sends almost all requests at once") {
  const SoundResult result = SimulateSound(ColdPolicy::kPermits, {}, 1);
  CHECK(result.sent_at_once > 0.99);
  CHECK(result.refused == 0);
}

}  // namespace
}  // namespace toucanhollow
