// Prints Markdown tables that compare ways to keep the bound of a cold server
// over all entry hosts.
#include <cstdint>
#include <cstdio>
#include <string>

#include "cold_start_bench/simulate.h"

namespace toucanhollow {
namespace {

constexpr std::uint64_t kSeed = 7;
constexpr int kFleetSizes[] = {34, 100, 300};
constexpr ColdPolicy kPolicies[] = {
    ColdPolicy::kShareWithMinimum, ColdPolicy::kShare,
    ColdPolicy::kSubset,           ColdPolicy::kTurns,
    ColdPolicy::kWarmKnown,        ColdPolicy::kPermits};
constexpr FleetEvent kEvents[] = {
    FleetEvent::kNone, FleetEvent::kPowerLoss, FleetEvent::kSplit,
    FleetEvent::kDifferingViews, FleetEvent::kLateConnections};
constexpr double kPercent = 100;

void PrintFlood() {
  std::printf(
      "Most requests in one second at 34 / 100 / 300 hosts; allowed 26\n\n");
  std::printf("| way |");
  for (const FleetEvent event : kEvents) {
    std::printf(" %s |", std::string(FleetEventName(event)).c_str());
  }
  std::printf("\n|---|---|---|---|---|---|\n");
  for (const ColdPolicy policy : kPolicies) {
    std::printf("| %s |", std::string(ColdPolicyName(policy)).c_str());
    for (const FleetEvent event : kEvents) {
      std::string separator;
      for (const int hosts : kFleetSizes) {
        std::printf("%s %d", separator.c_str(),
                    SimulateFlood(policy, event, hosts, kSeed));
        separator = " /";
      }
      std::printf(" |");
    }
    std::printf("\n");
  }
}

void PrintSound(const char* title, int servers, double requests_per_s) {
  std::printf("\n%s\n\n", title);
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
}

}  // namespace
}  // namespace toucanhollow

int main() {
  toucanhollow::PrintFlood();
  toucanhollow::PrintSound("72 warm servers, 300 requests/s", 72, 300);
  toucanhollow::PrintSound("24 warm servers, 240 requests/s", 24, 240);
  return 0;
}
