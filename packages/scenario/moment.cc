#include "scenario/moment.h"

#include <algorithm>
#include <array>

#include "base/check.h"

namespace toucanhollow {
namespace {

constexpr auto kNames = std::to_array<MomentName>({
    {Moment::kRequestArrived, "request-arrived"},
    {Moment::kDispatchSent, "dispatch-sent"},
    {Moment::kDispatchReceived, "dispatch-received"},
    {Moment::kClaimSent, "claim-sent"},
    {Moment::kClaimRead, "claim-read"},
    {Moment::kClaimAnswered, "claim-answered"},
    {Moment::kRunStarted, "run-started"},
    {Moment::kRunEnded, "run-ended"},
    {Moment::kResultSent, "result-sent"},
    {Moment::kAnswerSent, "answer-sent"},
    {Moment::kAnswerReceived, "answer-received"},
    {Moment::kVoidSent, "void-sent"},
    {Moment::kRecordSent, "record-sent"},
    {Moment::kRecordRead, "record-read"},
    {Moment::kProposalSent, "proposal-sent"},
    {Moment::kProposalRead, "proposal-read"},
    {Moment::kStaged, "staged"},
    {Moment::kConfirmSent, "confirm-sent"},
    {Moment::kAbortSent, "abort-sent"},
    {Moment::kDecisionRead, "decision-read"},
    {Moment::kActivated, "activated"},
    {Moment::kShutdownStarted, "shutdown-started"},
    {Moment::kLeavingSent, "leaving-sent"},
    {Moment::kEngineRestarted, "engine-restarted"},
});

}  // namespace

std::span<const MomentName> MomentNames() {
  return kNames;
}

std::string_view NameOf(Moment moment) {
  const auto* found = std::ranges::find(kNames, moment, &MomentName::moment);
  InternalCheck(found != kNames.end(), "moment has a name");
  return found->name;
}

}  // namespace toucanhollow
