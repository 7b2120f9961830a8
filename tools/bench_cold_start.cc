// Prints Markdown tables that compare ways to keep the bound of a cold server
// and the limit that a server names over all entry hosts.
#include <cstdint>
#include <cstdio>
#include <span>
#include <string>

#include "cold_start_bench/simulate.h"

namespace toucanhollow {
namespace {

constexpr std::uint64_t kSeed = 7;
constexpr int kFleetSizes[] = {34, 100, 300};
constexpr int kLimitFleetSizes[] = {8, 34, 100, 300};
constexpr ColdPolicy kPolicies[] = {
    ColdPolicy::kShareWithMinimum, ColdPolicy::kShare,
    ColdPolicy::kSubset,           ColdPolicy::kTurns,
    ColdPolicy::kWarmKnown,        ColdPolicy::kPermits};
// Whether a server is limited is told by itself alone.
constexpr ColdPolicy kLimitPolicies[] = {
    ColdPolicy::kShareWithMinimum, ColdPolicy::kShare, ColdPolicy::kSubset,
    ColdPolicy::kTurns, ColdPolicy::kPermits};
constexpr FleetEvent kEvents[] = {
    FleetEvent::kNone, FleetEvent::kPowerLoss, FleetEvent::kSplit,
    FleetEvent::kDifferingViews, FleetEvent::kLateConnections};
constexpr double kPercent = 100;

using Simulate = int (*)(ColdPolicy policy,
                         FleetEvent event,
                         int hosts,
                         std::uint64_t seed);

void PrintFlood(const char* title,
                std::span<const ColdPolicy> policies,
                std::span<const int> fleet_sizes,
                Simulate simulate) {
  std::printf("%s\n\n| way |", title);
  for (const FleetEvent event : kEvents) {
    std::printf(" %s |", std::string(FleetEventName(event)).c_str());
  }
  std::printf("\n|---|---|---|---|---|---|\n");
  for (const ColdPolicy policy : policies) {
    std::printf("| %s |", std::string(ColdPolicyName(policy)).c_str());
    for (const FleetEvent event : kEvents) {
      std::string separator;
      for (const int hosts : fleet_sizes) {
        std::printf("%s %d", separator.c_str(),
                    simulate(policy, event, hosts, kSeed));
        separator = " /";
      }
      std::printf(" |");
    }
    std::printf("\n");
  }
  std::printf("\n");
}

void PrintSound(const char* title, int servers, double requests_per_s) {
  std::printf("%s\n\n", title);
  std::printf(
      "| way | hosts | sent within 10 ms | refused | p99 wait, ms |\n"
      "|---|---|---|---|---|\n");
  for (const ColdPolicy policy : kPolicies) {
    for (const int hosts : kFleetSizes) {
      const SoundResult result =
          SimulateSound(policy, {hosts, servers, requests_per_s}, kSeed);
      std::printf("| %s | %d | %.1f%% | %.1f%% | %.0f |\n",
                  std::string(ColdPolicyName(policy)).c_str(), hosts,
                  result.sent_at_once * kPercent, result.refused * kPercent,
                  result.wait_p99_ms);
    }
  }
  std::printf("\n");
}

}  // namespace
}  // namespace toucanhollow

int main() {
  toucanhollow::PrintFlood(
      "Most requests in one second at 34 / 100 / 300 hosts; allowed 26",
      toucanhollow::kPolicies, toucanhollow::kFleetSizes,
      toucanhollow::SimulateFlood);
  toucanhollow::PrintFlood(
      "Most requests in 4 s at 8 / 34 / 100 / 300 hosts to a server that names "
      "2 a second; allowed 17",
      toucanhollow::kLimitPolicies, toucanhollow::kLimitFleetSizes,
      toucanhollow::SimulateLimit);
  toucanhollow::PrintSound("72 warm servers, 300 requests/s", 72, 300);
  toucanhollow::PrintSound("24 warm servers, 240 requests/s", 24, 240);
  return 0;
}
