#include "quarantine/judge_request.h"

#include <algorithm>
#include <iterator>

namespace toucanhollow {
namespace {

bool HasRule(const QuarantineState& state, PartId part, PartRule rule) {
  const auto found = state.rules.find(part);
  return found != state.rules.end() && found->second == rule;
}

}  // namespace

PromptJudgement JudgeRequest(const QuarantineState& state,
                             const std::vector<PartId>& parts,
                             AccountHash account,
                             TimePoint now) {
  std::vector<PartId> judged;
  for (const PartId part : parts) {
    if (HasRule(state, part, PartRule::kBlock)) {
      return {PromptVerdict::kRefuse, {}, kFirstTerm};
    }
    if (!HasRule(state, part, PartRule::kAllow)) {
      judged.push_back(part);
    }
  }
  for (const Quarantine& quarantine : state.quarantines) {
    const bool binding =
        quarantine.account == kSeveralAccounts || quarantine.account == account;
    if (binding && now < quarantine.until &&
        std::ranges::includes(judged, quarantine.parts)) {
      return {PromptVerdict::kRefuse, {}, quarantine.until - now};
    }
  }
  PromptJudgement judgement;
  std::ranges::copy_if(
      judged, std::back_inserter(judgement.suspects),
      [&state](PartId part) { return state.suspects.contains(part); });
  if (!judgement.suspects.empty()) {
    judgement.verdict = PromptVerdict::kIsolate;
  }
  return judgement;
}

}  // namespace toucanhollow
