#include "soak/plan_faults.h"

#include <random>

namespace toucanhollow {
namespace {

constexpr Duration kFirstFault = Milliseconds(1200);
constexpr int kShortestGapMs = 60;
constexpr int kGapSpreadMs = 500;
constexpr int kShortestFaultMs = 100;
constexpr int kFaultSpreadMs = 2500;
constexpr unsigned int kKinds =
    static_cast<unsigned int>(FaultKind::kConfigure) + 1;
// Modes beside kPass.
constexpr unsigned int kModes = 4;

}  // namespace

std::vector<Fault> PlanFaults(unsigned int seed, Duration length) {
  std::mt19937 random(seed);
  std::vector<Fault> faults;
  Duration at = kFirstFault;
  while (at < length) {
    Fault fault;
    fault.at = at;
    fault.kind = static_cast<FaultKind>(random() % kKinds);
    fault.which = random();
    fault.lasts = Milliseconds(kShortestFaultMs + random() % kFaultSpreadMs);
    fault.mode = static_cast<ProxyMode>(1 + random() % kModes);
    faults.push_back(fault);
    at += Milliseconds(kShortestGapMs + random() % kGapSpreadMs);
  }
  return faults;
}

}  // namespace toucanhollow
