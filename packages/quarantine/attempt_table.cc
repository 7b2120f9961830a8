#include "quarantine/attempt_table.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "base/check.h"

namespace toucanhollow {
namespace {

// `end` is the time of the crash, or that at which the attempt was lost.
bool MayBeCause(const std::optional<TimePoint>& began_at, TimePoint end) {
  return !began_at || end - *began_at < kMaxCrashDelay;
}

// From the beginning of the answer, in whole units and at least one; 0 if it
// has not begun.
Duration DelayOf(const std::optional<TimePoint>& began_at, TimePoint end) {
  if (!began_at) {
    return Duration(0);
  }
  return kDelayUnit *
         std::max<Duration::rep>((end - *began_at) / kDelayUnit, 1);
}

void AppendCandidates(std::vector<CrashCandidate>& candidates,
                      const std::vector<PartId>& parts,
                      const std::vector<PartId>& isolated,
                      AccountHash account,
                      Duration delay) {
  for (const PartId part : parts) {
    CrashCandidate candidate;
    candidate.part = part;
    candidate.account = account;
    candidate.isolated = std::ranges::binary_search(isolated, part);
    candidate.shortest_delay = delay;
    candidate.longest_delay = delay;
    candidates.push_back(candidate);
  }
}

// Removes the parts that add no candidate: those that an attempt which ended
// later had with the same marks, unless they may be the cause for longer, and
// those beyond kMaxCandidates. A removed part that is added again has the
// accounts and delays of the later attempts alone.
void Reduce(EndedAttempts& ended) {
  std::map<std::tuple<PartId, AccountHash, bool, bool>, TimePoint> kept;
  std::set<PartId> candidates;
  ended.part_count = 0;
  for (auto entry = ended.attempts.rbegin(); entry != ended.attempts.rend();
       ++entry) {
    EndedAttempt& attempt = *entry;
    std::erase_if(attempt.parts, [&](const PartId part) {
      const bool isolated = std::ranges::binary_search(attempt.isolated, part);
      if (candidates.size() >= kMaxCandidates && !isolated &&
          !candidates.contains(part)) {
        return true;
      }
      candidates.insert(part);
      const auto [known, is_new] =
          kept.try_emplace(std::tuple(part, attempt.account, isolated,
                                      attempt.lost_at.has_value()),
                           attempt.until);
      if (!is_new && attempt.until <= known->second) {
        return true;
      }
      known->second = attempt.until;
      return false;
    });
    attempt.parts.shrink_to_fit();
    ended.part_count += attempt.parts.size();
  }
  std::erase_if(ended.attempts, [](const EndedAttempt& attempt) {
    return attempt.parts.empty();
  });
  ended.max_part_count = 2 * std::max(ended.part_count, kMaxCandidates);
}

void KeepEndedParts(EndedAttempts& ended, EndedAttempt attempt) {
  ended.part_count += attempt.parts.size();
  ended.attempts.push_back(std::move(attempt));
  if (ended.part_count > ended.max_part_count) {
    Reduce(ended);
  }
}

std::size_t CountBytes(const std::string& names) {
  return sizeof(EndedNames) + names.capacity();
}

void ForgetNames(AttemptTable& table,
                 const std::deque<EndedNames>::const_iterator& entry) {
  table.ended_name_bytes -= entry->bytes;
  table.ended_names.erase(entry);
}

void KeepEndedNames(AttemptTable& table,
                    const ServerIncarnation& server,
                    PromptAttempt& attempt,
                    TimePoint until) {
  const std::size_t bytes = CountBytes(*attempt.names);
  table.ended_names.push_back({server, std::move(attempt.service),
                               std::move(attempt.names),
                               !attempt.isolated.empty(), until, bytes});
  table.ended_name_bytes += bytes;
  while (table.ended_name_bytes > kMaxEndedNameBytes) {
    const auto oldest =
        std::ranges::find(table.ended_names, false, &EndedNames::isolated);
    ForgetNames(table, oldest == table.ended_names.end()
                           ? table.ended_names.begin()
                           : oldest);
  }
}

}  // namespace

void AddAttempt(AttemptTable& table,
                const ServerIncarnation& server,
                AttemptNumber number,
                PromptAttempt attempt) {
  table.servers[server].insert_or_assign(number, std::move(attempt));
}

void MarkBegun(AttemptTable& table,
               const ServerIncarnation& server,
               AttemptNumber number,
               TimePoint now) {
  PromptAttempt& attempt = table.servers.at(server).at(number);
  if (!attempt.began_at) {
    attempt.began_at = now;
  }
}

void EndAttempt(AttemptTable& table,
                const ServerIncarnation& server,
                AttemptNumber number,
                AttemptResult result,
                TimePoint now) {
  const auto attempts = table.servers.find(server);
  InternalCheck(attempts != table.servers.end(),
                "an attempt that ends is in the table");
  const auto attempt = attempts->second.find(number);
  InternalCheck(attempt != attempts->second.end(),
                "an attempt that ends is in the table");
  PromptAttempt ended = std::move(attempt->second);
  attempts->second.erase(attempt);
  if (attempts->second.empty()) {
    table.servers.erase(attempts);
  }
  const bool lost = result == AttemptResult::kLost;
  if (ended.parts.empty() || !MayBeCause(ended.began_at, now) ||
      (!lost && !ended.began_at)) {
    return;
  }
  const TimePoint until =
      lost ? now + kLostAttemptRetention : *ended.began_at + kMaxCrashDelay;
  if (ended.names != nullptr) {
    KeepEndedNames(table, server, ended, until);
  }
  KeepEndedParts(
      table.ended[server],
      {std::move(ended.parts), std::move(ended.isolated), ended.account,
       ended.began_at, lost ? std::optional(now) : std::nullopt, until});
}

CrashRecord FindCandidates(const AttemptTable& table,
                           const ServerIncarnation& server,
                           std::uint32_t service,
                           TimePoint now) {
  CrashRecord found;
  const auto open = table.servers.find(server);
  if (open != table.servers.end()) {
    for (const auto& [number, attempt] : open->second) {
      if (MayBeCause(attempt.began_at, now)) {
        AppendCandidates(found.candidates, attempt.parts, attempt.isolated,
                         attempt.account, DelayOf(attempt.began_at, now));
      }
    }
  }
  const auto ended = table.ended.find(server);
  if (ended != table.ended.end()) {
    const std::deque<EndedAttempt>& attempts = ended->second.attempts;
    for (auto entry = attempts.rbegin(); entry != attempts.rend(); ++entry) {
      const EndedAttempt& attempt = *entry;
      if (now <= attempt.until) {
        AppendCandidates(
            found.candidates, attempt.parts, attempt.isolated, attempt.account,
            DelayOf(attempt.began_at, attempt.lost_at.value_or(now)));
      }
    }
  }
  std::stable_partition(
      found.candidates.begin(), found.candidates.end(),
      [](const CrashCandidate& candidate) { return !IsLate(candidate); });
  // Orders them, with each part once.
  return JoinRecords({server, service, {}}, found);
}

void ForgetEndedAttempts(AttemptTable& table, TimePoint now) {
  for (auto& [server, ended] : table.ended) {
    while (!ended.attempts.empty() && now > ended.attempts.front().until) {
      ended.part_count -= ended.attempts.front().parts.size();
      ended.attempts.pop_front();
    }
  }
  std::erase_if(table.ended, [](const auto& entry) {
    return entry.second.attempts.empty();
  });
  while (!table.ended_names.empty() && now > table.ended_names.front().until) {
    ForgetNames(table, table.ended_names.begin());
  }
}

}  // namespace toucanhollow
