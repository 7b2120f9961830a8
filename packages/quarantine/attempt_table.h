// AttemptTable: the requests of one host at each server, with the parts of
// their prompts. It tells which parts may have caused a crash of the server.
#ifndef QUARANTINE_ATTEMPT_TABLE_H_
#define QUARANTINE_ATTEMPT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/name.h"
#include "base/time.h"
#include "quarantine/crash_record.h"
#include "quarantine/prompt_part.h"

namespace toucanhollow {

// A server goes on for a moment with a request whose connection was closed. A
// crash this much later may still be due to it.
inline constexpr Duration kLostAttemptRetention = Seconds(1);

// Names of parts that are kept of ended attempts, with their bookkeeping.
inline constexpr std::size_t kMaxEndedNameBytes = std::size_t{1024} * 1024;

using AttemptNumber = std::uint64_t;

// As by JoinPartNames. Requests and their attempts share them.
using PartNames = std::shared_ptr<const std::string>;

// One attempt to have a server run a request.
struct PromptAttempt {
  ServiceName service;
  PartNames names;            // null if there are none
  std::vector<PartId> parts;  // as by IdentifyParts
  AccountHash account = kSeveralAccounts;
  // The suspect parts that an isolated request tests, ordered.
  std::vector<PartId> isolated;
  // The crashes that were known when the request was sent.
  std::uint64_t last_crash_number = 0;
  std::optional<TimePoint> began_at;  // the answer

  bool operator==(const PromptAttempt&) const = default;
};

enum class AttemptResult {
  kSettled,  // answered, or the server stated that it did not run the request
  kLost,     // broken off by the server or by this host
};

// An attempt that ended, and may still cause a crash.
struct EndedAttempt {
  std::vector<PartId> parts;     // ordered
  std::vector<PartId> isolated;  // as in PromptAttempt
  AccountHash account = kSeveralAccounts;
  std::optional<TimePoint> began_at;  // the answer
  std::optional<TimePoint> lost_at;   // unless it was settled
  TimePoint until;  // when it cannot be the cause of a crash any more

  bool operator==(const EndedAttempt&) const = default;
};

// The ended attempts of one server, in the order of their ends.
struct EndedAttempts {
  std::deque<EndedAttempt> attempts;
  std::size_t part_count = 0;
  // The attempts are reduced to what FindCandidates uses beyond this number of
  // parts.
  std::size_t max_part_count = 2 * kMaxCandidates;

  bool operator==(const EndedAttempts&) const = default;
};

// The names of an ended attempt's parts.
struct EndedNames {
  ServerIncarnation server;
  ServiceName service;
  PartNames names;
  bool isolated = false;
  TimePoint until;  // as in EndedAttempt
  std::size_t bytes = 0;

  bool operator==(const EndedNames&) const = default;
};

struct AttemptTable {
  std::map<ServerIncarnation, std::map<AttemptNumber, PromptAttempt>> servers;
  std::map<ServerIncarnation, EndedAttempts> ended;
  // In the order of the ends. Beyond kMaxEndedNameBytes the first are
  // forgotten, those of isolated attempts last.
  std::deque<EndedNames> ended_names;
  std::size_t ended_name_bytes = 0;

  bool operator==(const AttemptTable&) const = default;
};

void AddAttempt(AttemptTable& table,
                const ServerIncarnation& server,
                AttemptNumber number,
                PromptAttempt attempt);

// The attempt must be in the table.
void MarkBegun(AttemptTable& table,
               const ServerIncarnation& server,
               AttemptNumber number,
               TimePoint now);

// The parts of lost attempts stay for kLostAttemptRetention, and those of
// settled attempts whose answer has begun until it is kMaxCrashDelay old, if
// they are among the newest kMaxCandidates of their server.
void EndAttempt(AttemptTable& table,
                const ServerIncarnation& server,
                AttemptNumber number,
                AttemptResult result,
                TimePoint now);

// The parts that may have caused a crash of the server at the time `now` or
// shortly before. `service` is the hash of its service's name. Beyond
// kMaxCandidates, those that are not late are kept first; among them those of
// open attempts, then of those that ended last.
CrashRecord FindCandidates(const AttemptTable& table,
                           const ServerIncarnation& server,
                           std::uint32_t service,
                           TimePoint now);

// Removes ended attempts that are out of date.
void ForgetEndedAttempts(AttemptTable& table, TimePoint now);

}  // namespace toucanhollow

#endif  // QUARANTINE_ATTEMPT_TABLE_H_
