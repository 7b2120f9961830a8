#include "soak/plan_faults.h"

#include <array>
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
// In the second part a disturbance of the contact with the store follows each
// one before it after this time, and a server leaves some time later.
constexpr int kShortestContactGapMs = 4500;
constexpr int kContactGapSpreadMs = 3500;
constexpr int kRemovalSpreadMs = 3500;
constexpr int kShortestCutMs = 500;
constexpr int kCutSpreadMs = 5000;
constexpr std::array kContactKinds = {
    FaultKind::kSilenceStore, FaultKind::kCutBesideRestart,
    FaultKind::kCutBesideRestart, FaultKind::kStoreLink,
    FaultKind::kTerminateHost};

}  // namespace

std::string_view FaultName(FaultKind kind) {
  switch (kind) {
    case FaultKind::kKillHost:
      return "kill host";
    case FaultKind::kTerminateHost:
      return "terminate host";
    case FaultKind::kPauseHost:
      return "pause host";
    case FaultKind::kStoreDown:
      return "store down";
    case FaultKind::kStoreLink:
      return "store link";
    case FaultKind::kServerLink:
      return "server link";
    case FaultKind::kStoreCompact:
      return "store compact";
    case FaultKind::kBreakAnswers:
      return "break answers";
    case FaultKind::kRestartServer:
      return "restart server";
    case FaultKind::kDrainServer:
      return "drain server";
    case FaultKind::kConfigure:
      return "configure";
    case FaultKind::kSilenceStore:
      return "silence store";
    case FaultKind::kSilenceServer:
      return "silence server";
    case FaultKind::kRemoveServer:
      return "remove server";
    case FaultKind::kCutBesideRestart:
      return "cut beside restart";
  }
  return "";
}

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

std::vector<Fault> PlanContactFaults(unsigned int seed, Duration length) {
  std::mt19937 random(seed ^ 0x5bd1e995U);
  std::vector<Fault> faults;
  Duration at{0};
  while (at < length) {
    Fault fault;
    fault.at = at;
    fault.kind = kContactKinds[random() % kContactKinds.size()];
    fault.which = random();
    fault.lasts = Milliseconds(kShortestCutMs + random() % kCutSpreadMs);
    fault.mode = random() % 2 == 0 ? ProxyMode::kReset : ProxyMode::kSilent;
    faults.push_back(fault);
    Fault removal;
    removal.at = at + Milliseconds(random() % kRemovalSpreadMs);
    removal.kind = FaultKind::kRemoveServer;
    removal.which = random();
    if (removal.at < length) {
      faults.push_back(removal);
    }
    at += Milliseconds(kShortestContactGapMs + random() % kContactGapSpreadMs);
  }
  return faults;
}

}  // namespace toucanhollow
