#include "quarantine/crash_record.h"

#include <algorithm>
#include <map>

#include "base/hash.h"

namespace toucanhollow {

AccountHash HashAccount(std::string_view name) {
  const auto hash = static_cast<AccountHash>(HashText(name));
  return hash == kSeveralAccounts ? 1 : hash;
}

namespace {

// Includes the time until a host learns of a crash.
constexpr Duration kMinProofTime = Milliseconds(300);

enum class Evidence { kLate, kInTime, kIsolated };

Evidence EvidenceOf(const CrashCandidate& candidate) {
  if (candidate.isolated) {
    return Evidence::kIsolated;
  }
  return IsLate(candidate) ? Evidence::kLate : Evidence::kInTime;
}

// Joins the account and the delays: those of the strongest evidence count.
void JoinEvidence(CrashCandidate& marks, const CrashCandidate& other) {
  const Evidence known = EvidenceOf(marks);
  const Evidence added = EvidenceOf(other);
  if (added < known) {
    return;
  }
  if (added > known) {
    marks.account = other.account;
    marks.shortest_delay = other.shortest_delay;
    marks.longest_delay = other.longest_delay;
    return;
  }
  if (marks.account != other.account) {
    marks.account = kSeveralAccounts;
  }
  marks.shortest_delay = std::min(marks.shortest_delay, other.shortest_delay);
  marks.longest_delay = std::max(marks.longest_delay, other.longest_delay);
}

}  // namespace

Duration ProofTime(Duration longest_delay) {
  return longest_delay + kMinProofTime;
}

CrashRecord JoinRecords(const CrashRecord& one, const CrashRecord& other) {
  std::map<PartId, CrashCandidate> joined;
  for (const CrashRecord* record : {&one, &other}) {
    for (const CrashCandidate& candidate : record->candidates) {
      if (joined.size() >= kMaxCandidates && !candidate.isolated &&
          !joined.contains(candidate.part)) {
        continue;
      }
      const auto [entry, is_new] =
          joined.try_emplace(candidate.part, candidate);
      CrashCandidate& marks = entry->second;
      JoinEvidence(marks, candidate);
      marks.isolated |= candidate.isolated;
      marks.proven |= candidate.proven;
      marks.answered |= candidate.answered;
      marks.cleared |= candidate.cleared;
    }
  }
  CrashRecord result{one.server, one.service, {}};
  result.candidates.reserve(joined.size());
  for (const auto& [part, candidate] : joined) {
    result.candidates.push_back(candidate);
  }
  return result;
}

std::vector<PartId> FindIsolated(const CrashRecord& record) {
  std::vector<PartId> isolated;
  for (const CrashCandidate& candidate : record.candidates) {
    if (candidate.isolated && !candidate.cleared) {
      isolated.push_back(candidate.part);
    }
  }
  return isolated;
}

}  // namespace toucanhollow
