// The faults of one run, drawn from its seed.
#ifndef SOAK_PLAN_FAULTS_H_
#define SOAK_PLAN_FAULTS_H_

#include <string_view>
#include <vector>

#include "base/time.h"
#include "standins/fault_proxy/fault_proxy.h"

namespace toucanhollow {

enum class FaultKind {
  kKillHost,
  kTerminateHost,
  kPauseHost,
  kStoreDown,
  kStoreLink,     // of one host
  kServerLink,    // of one server
  kStoreCompact,  // history is dropped
  kBreakAnswers,  // of one server
  kRestartServer,
  kDrainServer,
  kConfigure,  // a new version is published
  // Faults of the contact with the store; see PlanContactFaults.
  kSilenceStore,      // connections of one host, or of all, fall silent
  kSilenceServer,     // connections to one server fall silent
  kRemoveServer,      // a server leaves without notice
  kCutBesideRestart,  // a host is cut from the store and another one restarts
};

std::string_view FaultName(FaultKind kind);

struct Fault {
  Duration at{0};
  FaultKind kind = FaultKind::kKillHost;
  // Which host or server, modulo their number.
  unsigned int which = 0;
  Duration lasts{0};
  ProxyMode mode = ProxyMode::kPass;  // of links

  bool operator==(const Fault&) const = default;
};

// In order of time; faults overlap.
std::vector<Fault> PlanFaults(unsigned int seed, Duration length);

// Disturbances of the contact with the store beside which servers leave without
// notice. There is time between them in which hosts are in touch again and held
// to the bounds.
std::vector<Fault> PlanContactFaults(unsigned int seed, Duration length);

}  // namespace toucanhollow

#endif  // SOAK_PLAN_FAULTS_H_
