// One fault of the failure model (docs/design.md, section 1.4).
#ifndef SCENARIO_FAULT_H_
#define SCENARIO_FAULT_H_

#include <string>

#include "base/time.h"

namespace toucanhollow {

enum class FaultKind {
  kRankStall,
  kLateMessages,
  kDoubledMessages,
  kLostMessages,
  kProcessDeath,
  // The process or its engine does nothing and sees nothing for the duration,
  // then goes on with the state it had.
  kPause,
  kTurnCold,
  kLogDown,
  kLogSlow,
  // Appends take effect, but their answers do not arrive.
  kLogAnswersLost,
  // Two operators publish opposite records with one expected revision.
  kOperatorsRace,
  kCutFromPlatform,
  kCutDataCentres,
};

struct Fault {
  FaultKind kind = FaultKind::kRankStall;
  // A process, an endpoint or a data centre; empty for the log.
  std::string target = {};
  // The receiver of the messages, or the other data centre.
  std::string peer = {};
  // Extra delay of late messages and slow appends.
  Duration delay{};
  Duration duration{};

  bool operator==(const Fault&) const = default;
};

// The fault in the words of the test language.
std::string DescribeFault(const Fault& fault);

}  // namespace toucanhollow

#endif  // SCENARIO_FAULT_H_
