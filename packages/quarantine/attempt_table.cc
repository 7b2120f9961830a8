#include "quarantine/attempt_table.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "base/check.h"

namespace toucanhollow {
namespace {

bool IsOutOfDate(TimePoint lost_at, TimePoint now) {
  return now - lost_at > kLostAttemptRetention;
}

// `end` is the time of the crash, or that at which the attempt was lost. An
// answer that had run for a while then does not have the cause.
bool MayBeCause(const PromptAttempt& attempt, TimePoint end) {
  return !attempt.began_at || end - *attempt.began_at < kBeginMargin;
}

void AppendCandidates(std::vector<CrashCandidate>& candidates,
                      const std::vector<PartId>& parts,
                      const std::vector<PartId>& isolated,
                      AccountHash account) {
  for (const PartId part : parts) {
    CrashCandidate candidate;
    candidate.part = part;
    candidate.account = account;
    candidate.isolated = std::ranges::binary_search(isolated, part);
    candidates.push_back(candidate);
  }
}

// Removes the parts that add no candidate: those that a newer attempt lost with
// the same marks, and those beyond kMaxCandidates. A removed part that is lost
// again has the accounts of the later attempts alone.
void Reduce(LostAttempts& lost) {
  std::set<std::tuple<PartId, AccountHash, bool>> marked;
  std::set<PartId> candidates;
  lost.part_count = 0;
  for (auto entry = lost.attempts.rbegin(); entry != lost.attempts.rend();
       ++entry) {
    LostAttempt& attempt = *entry;
    std::erase_if(attempt.parts, [&](const PartId part) {
      const bool isolated = std::ranges::binary_search(attempt.isolated, part);
      if (candidates.size() >= kMaxCandidates && !isolated &&
          !candidates.contains(part)) {
        return true;
      }
      candidates.insert(part);
      return !marked.emplace(part, attempt.account, isolated).second;
    });
    attempt.parts.shrink_to_fit();
    lost.part_count += attempt.parts.size();
  }
  std::erase_if(lost.attempts, [](const LostAttempt& attempt) {
    return attempt.parts.empty();
  });
  lost.max_part_count = 2 * std::max(lost.part_count, kMaxCandidates);
}

void KeepLostParts(LostAttempts& lost,
                   PromptAttempt& attempt,
                   TimePoint lost_at) {
  lost.part_count += attempt.parts.size();
  lost.attempts.push_back({std::move(attempt.parts),
                           std::move(attempt.isolated), attempt.account,
                           lost_at});
  if (lost.part_count > lost.max_part_count) {
    Reduce(lost);
  }
}

std::size_t CountBytes(const std::vector<std::string>& names) {
  std::size_t bytes =
      sizeof(LostNames) + names.capacity() * sizeof(std::string);
  for (const std::string& name : names) {
    bytes += name.capacity();
  }
  return bytes;
}

void ForgetNames(AttemptTable& table,
                 const std::deque<LostNames>::const_iterator& entry) {
  table.lost_name_bytes -= entry->bytes;
  table.lost_names.erase(entry);
}

void KeepLostNames(AttemptTable& table,
                   const ServerIncarnation& server,
                   PromptAttempt& attempt,
                   TimePoint lost_at) {
  const std::size_t bytes = CountBytes(*attempt.names);
  table.lost_names.push_back({server, std::move(attempt.service),
                              std::move(attempt.names),
                              !attempt.isolated.empty(), lost_at, bytes});
  table.lost_name_bytes += bytes;
  while (table.lost_name_bytes > kMaxLostNameBytes) {
    const auto oldest =
        std::ranges::find(table.lost_names, false, &LostNames::isolated);
    ForgetNames(table, oldest == table.lost_names.end()
                           ? table.lost_names.begin()
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
  if (result == AttemptResult::kLost && MayBeCause(ended, now) &&
      !ended.parts.empty()) {
    if (ended.names != nullptr) {
      KeepLostNames(table, server, ended, now);
    }
    KeepLostParts(table.lost[server], ended, now);
  }
}

CrashRecord FindCandidates(const AttemptTable& table,
                           const ServerIncarnation& server,
                           std::uint32_t service,
                           TimePoint now) {
  CrashRecord found;
  const auto open = table.servers.find(server);
  if (open != table.servers.end()) {
    for (const auto& [number, attempt] : open->second) {
      if (MayBeCause(attempt, now)) {
        AppendCandidates(found.candidates, attempt.parts, attempt.isolated,
                         attempt.account);
      }
    }
  }
  const auto lost = table.lost.find(server);
  if (lost != table.lost.end()) {
    const std::deque<LostAttempt>& attempts = lost->second.attempts;
    for (auto entry = attempts.rbegin(); entry != attempts.rend(); ++entry) {
      const LostAttempt& attempt = *entry;
      if (!IsOutOfDate(attempt.lost_at, now)) {
        AppendCandidates(found.candidates, attempt.parts, attempt.isolated,
                         attempt.account);
      }
    }
  }
  // Orders them, with each part once.
  return JoinRecords({server, service, {}}, found);
}

void ForgetLostAttempts(AttemptTable& table, TimePoint now) {
  for (auto& [server, lost] : table.lost) {
    while (!lost.attempts.empty() &&
           IsOutOfDate(lost.attempts.front().lost_at, now)) {
      lost.part_count -= lost.attempts.front().parts.size();
      lost.attempts.pop_front();
    }
  }
  std::erase_if(table.lost, [](const auto& entry) {
    return entry.second.attempts.empty();
  });
  while (!table.lost_names.empty() &&
         IsOutOfDate(table.lost_names.front().lost_at, now)) {
    ForgetNames(table, table.lost_names.begin());
  }
}

}  // namespace toucanhollow
