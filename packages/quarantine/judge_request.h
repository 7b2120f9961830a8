// Decides whether a request may be sent, by the parts of its prompt.
#ifndef QUARANTINE_JUDGE_REQUEST_H_
#define QUARANTINE_JUDGE_REQUEST_H_

#include <vector>

#include "base/time.h"
#include "quarantine/quarantine_state.h"

namespace toucanhollow {

enum class PromptVerdict {
  kPass,
  kIsolate,  // only in isolation
  kRefuse,   // not at all
};

struct PromptJudgement {
  PromptVerdict verdict = PromptVerdict::kPass;
  // kIsolate: the parts that are suspect, ordered.
  std::vector<PartId> suspects;
  // kRefuse: the remaining time of the quarantine; the first term if an
  // operator blocks the part.
  Duration retry_after{0};

  bool operator==(const PromptJudgement&) const = default;
};

// `parts` are those of IdentifyParts, and `account` is that of the caller. The
// derived values of the state must be up to date.
PromptJudgement JudgeRequest(const QuarantineState& state,
                             const std::vector<PartId>& parts,
                             AccountHash account,
                             TimePoint now);

}  // namespace toucanhollow

#endif  // QUARANTINE_JUDGE_REQUEST_H_
