#include "quarantine/quarantine_state.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "base/hash.h"

namespace toucanhollow {
namespace {

Duration TermLength(int term) {
  return kFirstTerm * (1 << std::clamp(term - 1, 0, kMaxTermDoublings));
}

bool IsCleared(const CrashRecord& record) {
  return std::ranges::all_of(record.candidates, &CrashCandidate::cleared);
}

TimePoint ForgetAt(const KnownCrash& crash) {
  return crash.quarantined_until.value_or(crash.learned_at) + kSuspicionTime;
}

// True if all the parts are candidates.
bool Includes(const CrashRecord& record, const std::vector<PartId>& parts) {
  return std::ranges::includes(record.candidates, parts, {},
                               &CrashCandidate::part);
}

bool Intersects(const std::vector<PartId>& one,
                const std::vector<PartId>& other) {
  return std::ranges::any_of(one, [&other](PartId part) {
    return std::ranges::binary_search(other, part);
  });
}

void Forget(QuarantineState& state, TimePoint now) {
  std::erase_if(state.crashes, [now](const auto& entry) {
    return now >= ForgetAt(entry.second);
  });
  while (state.crashes.size() > kMaxCrashes) {
    state.crashes.erase(
        std::ranges::min_element(state.crashes, {}, [](const auto& entry) {
          const KnownCrash& crash = entry.second;
          return std::tuple(crash.quarantined_until.has_value(),
                            !IsCleared(crash.record), crash.learned_at);
        }));
  }
}

// The account whose requests had all the parts at crashes, or kSeveralAccounts.
// Parts that several accounts had at one crash tell nothing of the account.
AccountHash FindAccount(const QuarantineState& state,
                        const std::vector<PartId>& parts) {
  std::optional<AccountHash> account;
  for (const auto& [server, crash] : state.crashes) {
    if (!Includes(crash.record, parts)) {
      continue;
    }
    for (const CrashCandidate& candidate : crash.record.candidates) {
      // That others had sound answers with the part at the server tells
      // nothing.
      const bool unrelated = IsLate(candidate) && !candidate.isolated;
      if (candidate.account == kSeveralAccounts || unrelated ||
          !std::ranges::binary_search(parts, candidate.part)) {
        continue;
      }
      if (account.value_or(candidate.account) != candidate.account) {
        return kSeveralAccounts;
      }
      account = candidate.account;
    }
  }
  return account.value_or(kSeveralAccounts);
}

// Null if the part is no candidate.
const CrashCandidate* FindCandidate(const CrashRecord& record, PartId part) {
  const auto found = std::ranges::lower_bound(record.candidates, part, {},
                                              &CrashCandidate::part);
  return found != record.candidates.end() && found->part == part ? &*found
                                                                 : nullptr;
}

bool IsLateAt(const CrashRecord& record, PartId part) {
  const CrashCandidate* candidate = FindCandidate(record, part);
  return candidate != nullptr && IsLate(*candidate);
}

// True if another server of the service crashed at about the same time without
// having had the parts. Those that were late there and not here do not count,
// as a part in many requests is late at most servers. The crash of a server
// that tested other parts tells nothing.
bool IsCoincident(const QuarantineState& state,
                  const KnownCrash& crash,
                  const std::vector<PartId>& parts) {
  return std::ranges::any_of(state.crashes, [&](const auto& entry) {
    const KnownCrash& other = entry.second;
    const Duration apart = other.learned_at - crash.learned_at;
    const bool has_parts =
        Includes(other.record, parts) &&
        std::ranges::none_of(parts, [&](PartId part) {
          return IsLateAt(other.record, part) && !IsLateAt(crash.record, part);
        });
    return other.record.service == crash.record.service &&
           apart <= kCoincidenceTime && -apart <= kCoincidenceTime &&
           !has_parts &&
           std::ranges::none_of(other.record.candidates, [](const auto& each) {
             return each.isolated && !IsLate(each);
           });
  });
}

bool IsProven(const QuarantineState& state, PartId part) {
  return std::ranges::any_of(state.crashes, [part](const auto& entry) {
    const CrashCandidate* candidate = FindCandidate(entry.second.record, part);
    return candidate != nullptr && candidate->proven;
  });
}

// The parts of the test whose answer had not begun, if one of them is not
// proven. All of them, as a proven part may end servers from some moment on.
// What is known of a part from one crash holds for the others too, as the hosts
// tell it a moment later than the crash.
std::vector<PartId> FindUnprovenTest(const QuarantineState& state,
                                     const CrashRecord& record) {
  std::vector<PartId> tested;
  bool any_unproven = false;
  for (const CrashCandidate& candidate : record.candidates) {
    if (candidate.isolated && !candidate.cleared &&
        candidate.shortest_delay == Duration(0)) {
      tested.push_back(candidate.part);
      any_unproven |= !IsProven(state, candidate.part);
    }
  }
  return any_unproven ? tested : std::vector<PartId>();
}

// The parts that each crash convicts by itself, by server.
using SingleConvictions = std::map<ServerIncarnation, std::vector<PartId>>;

SingleConvictions FindSingleConvictions(const QuarantineState& state) {
  SingleConvictions found;
  for (const auto& [server, crash] : state.crashes) {
    const std::vector<PartId> isolated = FindIsolated(crash.record);
    if (isolated.empty() || IsCoincident(state, crash, isolated)) {
      continue;
    }
    std::vector<PartId> tested = FindUnprovenTest(state, crash.record);
    if (!tested.empty()) {
      found.emplace(server, std::move(tested));
    }
  }
  return found;
}

// True if another crash has convicted parts that were at this one too, without
// the part.
bool IsDueToOthers(const SingleConvictions& single,
                   const CrashRecord& record,
                   PartId part) {
  return std::ranges::any_of(single, [&](const auto& entry) {
    const auto& [server, parts] = entry;
    return server != record.server && Includes(record, parts) &&
           !std::ranges::binary_search(parts, part);
  });
}

// Those of the parts that were isolated, and are not cleared, at so many
// crashes that they are convicted whatever speaks for them.
std::vector<PartId> FindRepeated(const QuarantineState& state,
                                 const SingleConvictions& single,
                                 const std::vector<PartId>& parts) {
  std::vector<PartId> repeated;
  std::ranges::copy_if(parts, std::back_inserter(repeated), [&](PartId part) {
    const auto crashes =
        std::ranges::count_if(state.crashes, [&](const auto& entry) {
          const KnownCrash& crash = entry.second;
          const CrashCandidate* candidate = FindCandidate(crash.record, part);
          return candidate != nullptr && candidate->isolated &&
                 !candidate->cleared &&
                 !IsDueToOthers(single, crash.record, part) &&
                 !IsCoincident(state, crash, {part});
        });
    return crashes >= kIsolatedCrashesOfProven;
  });
  return repeated;
}

// The parts that the crash convicts.
std::vector<PartId> FindConvicted(const QuarantineState& state,
                                  const SingleConvictions& single,
                                  const KnownCrash& crash) {
  const auto own = single.find(crash.record.server);
  if (own != single.end()) {
    // If some of the parts are convicted without the others, they are the
    // cause.
    const bool has_smaller =
        std::ranges::any_of(single, [&](const auto& other) {
          return other.second.size() < own->second.size() &&
                 std::ranges::includes(own->second, other.second);
        });
    return has_smaller ? std::vector<PartId>() : own->second;
  }
  const std::vector<PartId> isolated = FindIsolated(crash.record);
  if (isolated.empty() || IsCoincident(state, crash, isolated)) {
    return {};
  }
  return FindRepeated(state, single, isolated);
}

// How many times in a row the parts have been convicted, this time included.
int FindTerm(const QuarantineState& state,
             const SingleConvictions& single,
             const std::vector<PartId>& parts) {
  int term = 0;
  for (const auto& [server, crash] : state.crashes) {
    if (crash.quarantined_until &&
        Intersects(FindConvicted(state, single, crash), parts)) {
      term = std::max(term, crash.term);
    }
  }
  return term + 1;
}

void ImposeQuarantines(QuarantineState& state,
                       const SingleConvictions& single,
                       TimePoint now) {
  for (auto& [server, crash] : state.crashes) {
    const std::vector<PartId> convicted = FindConvicted(state, single, crash);
    if (!crash.quarantined_until && !convicted.empty()) {
      crash.term = FindTerm(state, single, convicted);
      crash.quarantined_until = now + TermLength(crash.term);
    }
  }
}

// A crash, and the quarantine that it imposed.
struct Conviction {
  const KnownCrash* crash = nullptr;
  Quarantine quarantine;
};

// The number of crashes that may be due to all the parts.
std::ptrdiff_t CountCrashes(const QuarantineState& state,
                            const std::vector<PartId>& parts) {
  return std::ranges::count_if(state.crashes, [&parts](const auto& entry) {
    const CrashRecord& record = entry.second.record;
    return std::ranges::all_of(parts, [&record](PartId part) {
      const CrashCandidate* candidate = FindCandidate(record, part);
      return candidate != nullptr && !candidate->cleared;
    });
  });
}

// True if the other conviction explains the crash of this one, as its parts
// were there and not tested. If both explain the other's crash, the parts that
// were at more crashes are the cause.
bool IsOverruled(const QuarantineState& state,
                 const Conviction& conviction,
                 const Conviction& other) {
  const std::vector<PartId>& parts = conviction.quarantine.parts;
  const std::vector<PartId>& others = other.quarantine.parts;
  const CrashRecord& record = conviction.crash->record;
  if (Intersects(FindIsolated(record), others) || !Includes(record, others)) {
    return false;
  }
  return !Includes(other.crash->record, parts) ||
         CountCrashes(state, others) > CountCrashes(state, parts);
}

// All convictions, those whose quarantine has ended included.
std::vector<Conviction> ListConvictions(const QuarantineState& state,
                                        const SingleConvictions& single) {
  std::vector<Conviction> convictions;
  for (const auto& [server, crash] : state.crashes) {
    std::vector<PartId> parts = FindConvicted(state, single, crash);
    if (crash.quarantined_until && !parts.empty()) {
      const AccountHash account = FindAccount(state, parts);
      convictions.push_back(
          {&crash, {std::move(parts), account, *crash.quarantined_until}});
    }
  }
  std::vector<Conviction> standing;
  std::ranges::copy_if(
      convictions, std::back_inserter(standing), [&](const Conviction& each) {
        return std::ranges::none_of(convictions, [&](const Conviction& other) {
          return IsOverruled(state, each, other);
        });
      });
  return standing;
}

// A crash whose candidates include convicted parts says nothing of the others.
bool IsExplained(const CrashRecord& record,
                 const std::vector<Conviction>& convictions) {
  return std::ranges::any_of(convictions, [&record](const Conviction& entry) {
    return Includes(record, entry.quarantine.parts);
  });
}

// Adds the convicted parts that requests may still test.
void CollectConvictedSuspects(QuarantineState& state,
                              const Conviction& conviction,
                              TimePoint now) {
  const Quarantine& quarantine = conviction.quarantine;
  const bool ended = quarantine.until <= now;
  // Requests with only some of the parts tell which of them is the cause, and
  // those of other accounts whether a part is. After the end of its quarantine
  // a part is tried again, and is suspect until it is cleared.
  if (quarantine.parts.size() == 1 && !ended &&
      quarantine.account == kSeveralAccounts) {
    return;
  }
  for (const CrashCandidate& candidate : conviction.crash->record.candidates) {
    if ((ended || !candidate.answered) &&
        std::ranges::binary_search(quarantine.parts, candidate.part)) {
      state.suspects.insert(candidate.part);
    }
  }
}

bool AreAllLate(const CrashRecord& record) {
  return std::ranges::all_of(record.candidates, IsLate);
}

void CollectSuspects(QuarantineState& state,
                     const std::vector<Conviction>& convictions,
                     TimePoint now) {
  state.suspects.clear();
  for (const Conviction& conviction : convictions) {
    CollectConvictedSuspects(state, conviction, now);
  }
  // The number of crashes at which the part was late and is not cleared.
  std::map<PartId, int> late;
  for (const auto& [server, crash] : state.crashes) {
    if (IsExplained(crash.record, convictions)) {
      continue;
    }
    // Most servers that a part ends have not begun to answer. Parts of answers
    // that had begun are tested if there was no other, or at the second crash.
    // Then they are suspect until they are cleared, as the beginning of another
    // answer tells nothing.
    const bool all_late = AreAllLate(crash.record);
    for (const CrashCandidate& candidate : crash.record.candidates) {
      if (candidate.cleared) {
        continue;
      }
      const bool is_late = IsLate(candidate);
      const bool is_repeated = is_late && ++late[candidate.part] > 1;
      if (is_repeated || (!candidate.answered && (!is_late || all_late))) {
        state.suspects.insert(candidate.part);
      }
    }
  }
}

// Sets the mark on these parts of the crashes up to `last_number`. Returns the
// crashes whose record changed.
std::vector<ServerIncarnation> MarkParts(QuarantineState& state,
                                         const std::vector<PartId>& parts,
                                         std::uint64_t last_number,
                                         bool CrashCandidate::*mark) {
  std::vector<ServerIncarnation> changed;
  for (auto& [server, crash] : state.crashes) {
    if (crash.number > last_number) {
      continue;
    }
    bool any = false;
    for (CrashCandidate& candidate : crash.record.candidates) {
      if (!(candidate.*mark) &&
          std::ranges::binary_search(parts, candidate.part)) {
        candidate.*mark = true;
        any = true;
      }
    }
    if (any) {
      changed.push_back(server);
    }
  }
  if (!changed.empty()) {
    state.valid_until = TimePoint::min();
  }
  return changed;
}

}  // namespace

void UpdateVerdicts(QuarantineState& state, TimePoint now) {
  if (now < state.valid_until) {
    return;
  }
  ImposeQuarantines(state, FindSingleConvictions(state), now);
  Forget(state, now);
  const std::vector<Conviction> convictions =
      ListConvictions(state, FindSingleConvictions(state));
  CollectSuspects(state, convictions, now);
  state.quarantines.clear();
  for (const Conviction& conviction : convictions) {
    if (now < conviction.quarantine.until) {
      state.quarantines.push_back(conviction.quarantine);
    }
  }
  state.valid_until = TimePoint::max();
  for (const auto& [server, crash] : state.crashes) {
    state.valid_until = std::min(state.valid_until, ForgetAt(crash));
  }
  for (const Quarantine& quarantine : state.quarantines) {
    state.valid_until = std::min(state.valid_until, quarantine.until);
  }
}

bool MergeReport(QuarantineState& state,
                 const CrashReport& report,
                 TimePoint now) {
  KnownCrash reported{report.record, now - report.age, 0, std::nullopt,
                      report.term};
  if (report.quarantine_left) {
    reported.quarantined_until = now + *report.quarantine_left;
  }
  if (now >= ForgetAt(reported)) {
    return false;
  }
  const auto [entry, is_new] = state.crashes.try_emplace(report.record.server);
  KnownCrash& crash = entry->second;
  if (is_new) {
    crash.record.server = report.record.server;
    crash.record.service = report.record.service;
    crash.learned_at = reported.learned_at;
    crash.number = ++state.last_number;
  }
  CrashRecord joined = JoinRecords(crash.record, report.record);
  bool changed = is_new || joined != crash.record;
  crash.record = std::move(joined);
  crash.learned_at = std::min(crash.learned_at, reported.learned_at);
  if (reported.quarantined_until) {
    changed |= !crash.quarantined_until || reported.term > crash.term;
    crash.quarantined_until =
        std::max(crash.quarantined_until.value_or(TimePoint()),
                 *reported.quarantined_until);
    crash.term = std::max(crash.term, reported.term);
  }
  if (changed) {
    state.valid_until = TimePoint::min();
  }
  return changed;
}

std::vector<ServerIncarnation> MarkAnswered(QuarantineState& state,
                                            const std::vector<PartId>& parts,
                                            std::uint64_t last_number) {
  return MarkParts(state, parts, last_number, &CrashCandidate::answered);
}

std::vector<ServerIncarnation> ClearParts(QuarantineState& state,
                                          const std::vector<PartId>& parts,
                                          std::uint64_t last_number) {
  return MarkParts(state, parts, last_number, &CrashCandidate::cleared);
}

bool MarkProvenParts(QuarantineState& state,
                     const ServerIncarnation& server,
                     const SoundParts& sound) {
  const auto found = state.crashes.find(server);
  if (found == state.crashes.end() ||
      !MarkProven(found->second.record, sound, found->second.learned_at)) {
    return false;
  }
  state.valid_until = TimePoint::min();
  return true;
}

void SetRules(QuarantineState& state, std::map<PartId, PartRule> rules) {
  state.rules = std::move(rules);
}

CrashReport MakeReport(const KnownCrash& crash, TimePoint now) {
  CrashReport report;
  report.record = crash.record;
  report.age = now - crash.learned_at;
  if (crash.quarantined_until) {
    report.quarantine_left = *crash.quarantined_until - now;
    report.term = crash.term;
  }
  return report;
}

std::uint32_t DigestOf(const QuarantineState& state) {
  std::string text;
  for (const auto& [server, crash] : state.crashes) {
    text += std::to_string(server.address) + "," +
            std::to_string(server.start_time_ms) + ":";
    for (const CrashCandidate& candidate : crash.record.candidates) {
      text += FormatPartId(candidate.part);
      text += std::to_string(candidate.account);
      text += candidate.isolated ? '+' : '-';
      text += candidate.proven ? '+' : '-';
      text += candidate.cleared ? '+' : '-';
      text += candidate.answered ? '+' : '-';
      text += std::to_string(candidate.shortest_delay / Milliseconds(1)) + "," +
              std::to_string(candidate.longest_delay / Milliseconds(1));
    }
    text += ';';
  }
  return static_cast<std::uint32_t>(HashText(text));
}

}  // namespace toucanhollow
