// CrashRecord: what the requests at a server had in common when it crashed.
//
// Each entry host knows its own requests. The records of several hosts about
// one crash are joined: the union of their candidates, each with the union of
// its marks. The result does not depend on the order, nor on repetition.
#ifndef QUARANTINE_CRASH_RECORD_H_
#define QUARANTINE_CRASH_RECORD_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "quarantine/prompt_part.h"

namespace toucanhollow {

// One incarnation of a server; it crashes once.
struct ServerIncarnation {
  std::uint32_t address = 0;       // hash
  std::int64_t start_time_ms = 0;  // Unix time, as the server registered it

  bool operator==(const ServerIncarnation&) const = default;
  auto operator<=>(const ServerIncarnation&) const = default;
};

// Hash of a client account's name. The value kSeveralAccounts stands for more
// than one account.
using AccountHash = std::uint32_t;
inline constexpr AccountHash kSeveralAccounts = 0;
AccountHash HashAccount(std::string_view name);

// An answer that began this long before the crash, or earlier, does not have
// the cause.
inline constexpr Duration kMaxCrashDelay = Seconds(2);
// The first event of an answer may be received just before the crash that it
// caused. With a longer delay, another cause is more likely.
inline constexpr Duration kBeginMargin = Milliseconds(100);

// Hosts tell each other delays in this unit.
inline constexpr Duration kDelayUnit = Milliseconds(1);

// A part of a prompt that may have caused the crash: its request was at the
// server, and its answer had not begun kMaxCrashDelay before.
struct CrashCandidate {
  PartId part;
  // The part was suspect, and its request was sent in isolation to test it.
  bool isolated = false;
  // The account of the requests with the part. This and the delays are those of
  // isolated requests if there are any, else of those that are not late
  // (IsLate), else of all.
  AccountHash account = kSeveralAccounts;
  // From the beginning of an answer with the part to the crash, and 0 if it had
  // not begun: the shortest and the longest.
  Duration shortest_delay{0};
  Duration longest_delay{0};
  // Answers with the part had begun in the time before the crash.
  bool proven = false;
  // An answer with the part has begun since the crash, so that the part is not
  // suspect until another server ends.
  bool answered = false;
  // A server has survived an answer for ProofTime, so the part is sound.
  bool cleared = false;

  bool operator==(const CrashCandidate&) const = default;
};

// All answers with the part had begun kBeginMargin or more before the crash.
inline bool IsLate(const CrashCandidate& candidate) {
  return candidate.shortest_delay >= kBeginMargin;
}

// A server that has survived an answer for this long speaks for a part where a
// crash speaks against it that came with this delay.
Duration ProofTime(Duration longest_delay);

struct CrashRecord {
  ServerIncarnation server;
  std::uint32_t service = 0;               // hash of its name
  std::vector<CrashCandidate> candidates;  // ordered by part, each once

  bool operator==(const CrashRecord&) const = default;
};

// Candidates of one crash beyond this number are not recorded, except
// isolated ones.
inline constexpr std::size_t kMaxCandidates = 2048;

// Joins two records of one crash.
CrashRecord JoinRecords(const CrashRecord& one, const CrashRecord& other);

// The parts that were isolated and are not cleared.
std::vector<PartId> FindIsolated(const CrashRecord& record);

}  // namespace toucanhollow

#endif  // QUARANTINE_CRASH_RECORD_H_
