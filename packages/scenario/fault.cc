#include "scenario/fault.h"

namespace toucanhollow {
namespace {

std::string InMilliseconds(Duration duration) {
  return std::to_string(duration.count() / 1000) + " ms";
}

}  // namespace

std::string DescribeFault(const Fault& fault) {
  const std::string lasting = " for " + InMilliseconds(fault.duration);
  const std::string messages =
      " messages from " + fault.target + " to " + fault.peer;
  switch (fault.kind) {
    case FaultKind::kRankStall:
      return "stall " + fault.target + lasting;
    case FaultKind::kLateMessages:
      return "delay" + messages + " by " + InMilliseconds(fault.delay) +
             lasting;
    case FaultKind::kDoubledMessages:
      return "double" + messages + lasting;
    case FaultKind::kLostMessages:
      return "lose" + messages + lasting;
    case FaultKind::kProcessDeath:
      return "kill " + fault.target;
    case FaultKind::kPause:
      return "pause " + fault.target + lasting;
    case FaultKind::kTurnCold:
      return "turn " + fault.target + " cold";
    case FaultKind::kLogDown:
      return "log down" + lasting;
    case FaultKind::kLogSlow:
      return "log slow by " + InMilliseconds(fault.delay) + lasting;
    case FaultKind::kLogAnswersLost:
      return "log answers lost" + lasting;
    case FaultKind::kOperatorsRace:
      return "race operators on " + fault.target;
    case FaultKind::kCutFromPlatform:
      return "cut " + fault.target + " from platform" + lasting;
    case FaultKind::kCutDataCentres:
      return "cut " + fault.target + " from " + fault.peer + lasting;
  }
  return {};
}

}  // namespace toucanhollow
