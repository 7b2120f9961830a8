// Moments: the named steps of the procedures at which a fault can strike.
#ifndef SCENARIO_MOMENT_H_
#define SCENARIO_MOMENT_H_

#include <span>
#include <string_view>

namespace toucanhollow {

enum class Moment {
  kRequestArrived,
  kDispatchSent,
  kDispatchReceived,
  kClaimSent,
  kClaimRead,
  kClaimAnswered,
  kRunStarted,
  kRunEnded,
  kResultSent,
  kAnswerSent,
  kAnswerReceived,
  kVoidSent,
  kRecordSent,
  // A record replaced an earlier one in a process.
  kRecordRead,
  kProposalSent,
  kProposalRead,
  kStaged,
  kConfirmSent,
  kAbortSent,
  kDecisionRead,
  kActivated,
  kShutdownStarted,
  kLeavingSent,
  kEngineRestarted,
};

struct MomentName {
  Moment moment;
  // As written after "when" in a scenario.
  std::string_view name;
};

std::span<const MomentName> MomentNames();
std::string_view NameOf(Moment moment);

}  // namespace toucanhollow

#endif  // SCENARIO_MOMENT_H_
