// The faults of one run, drawn from its seed.
#ifndef SOAK_PLAN_FAULTS_H_
#define SOAK_PLAN_FAULTS_H_

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
};

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

}  // namespace toucanhollow

#endif  // SOAK_PLAN_FAULTS_H_
