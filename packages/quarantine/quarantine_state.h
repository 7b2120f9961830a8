// QuarantineState: what one entry host knows of crashes of servers, and which
// parts of prompts it therefore isolates or refuses.
//
// A part of a prompt may crash every server that begins to write an answer on
// it, at once or some time later. A crash makes all parts suspect that were
// there in requests whose answer had not begun, or only a while before.
// Requests with a suspect part are sent in isolation, one at a time on one
// server. An answer that begins ends the suspicion of its parts, and once its
// server has survived it for ProofTime they are cleared. A crash of the server
// before that convicts the parts that were isolated, and requests that have all
// of them are refused for the term of the quarantine. Then the parts are
// suspect again.
#ifndef QUARANTINE_QUARANTINE_STATE_H_
#define QUARANTINE_QUARANTINE_STATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/time.h"
#include "quarantine/crash_record.h"
#include "quarantine/prompt_part.h"
#include "quarantine/sound_parts.h"

namespace toucanhollow {

// The quarantine after the first conviction. Each further conviction of the
// same parts doubles the term, as the trial at its end costs a server.
inline constexpr Duration kFirstTerm = Seconds(300);
inline constexpr int kMaxTermDoublings = 6;
// A crash makes parts suspect for this long. The parts of a quarantine are
// suspect for this long after its end.
inline constexpr Duration kSuspicionTime = Seconds(600);
// A part with which answers have begun, lately or in the test itself, is
// convicted by this many crashes during isolation, any other part by one. The
// server may have crashed for another reason.
inline constexpr int kIsolatedCrashesOfProven = 2;
// Servers that crash within this time of each other, without a part in common,
// crash for another reason, for example a loss of power. Includes the time
// until a host learns of a crash.
inline constexpr Duration kCoincidenceTime = Milliseconds(100);
inline constexpr std::size_t kMaxCrashes = 256;

// Parts whose requests are refused.
struct Quarantine {
  // Ordered; a request with all of them is refused.
  std::vector<PartId> parts;
  // The only account whose requests are refused, or kSeveralAccounts for all. A
  // caller can make a sound part of others look like the cause by always
  // sending it beside a part that crashes servers, so evidence from one account
  // binds no other.
  AccountHash account = kSeveralAccounts;
  TimePoint until;

  bool operator==(const Quarantine&) const = default;
};

struct KnownCrash {
  CrashRecord record;
  TimePoint learned_at;
  // Numbers the crashes in the order in which this host learned of them.
  std::uint64_t number = 0;
  // Set when parts are convicted.
  std::optional<TimePoint> quarantined_until;
  // How many times in a row these parts have been convicted.
  int term = 0;

  bool operator==(const KnownCrash&) const = default;
};

// What an operator decided about a part; it goes before the evidence.
enum class PartRule { kBlock, kAllow };

struct QuarantineState {
  std::map<ServerIncarnation, KnownCrash> crashes;
  std::map<PartId, PartRule> rules;
  std::uint64_t last_number = 0;
  // Derived from the above by UpdateVerdicts.
  std::set<PartId> suspects;
  std::vector<Quarantine> quarantines;
  // From this time on the derived values are out of date.
  TimePoint valid_until = TimePoint::max();

  bool operator==(const QuarantineState&) const = default;
};

// The knowledge of one crash, as hosts exchange it.
struct CrashReport {
  CrashRecord record;
  Duration age{0};  // since the first host learned of the crash
  // The remaining time of the quarantine, if parts are convicted.
  std::optional<Duration> quarantine_left;
  int term = 0;

  bool operator==(const CrashReport&) const = default;
};

// Joins the report with what is known. Returns true if something is new.
bool MergeReport(QuarantineState& state,
                 const CrashReport& report,
                 TimePoint now);

// An answer with these parts has begun, to a request that was sent when the
// crashes up to `last_number` were known. Ends the suspicion of the parts by
// these crashes. Returns the crashes whose record changed.
std::vector<ServerIncarnation> MarkAnswered(QuarantineState& state,
                                            const std::vector<PartId>& parts,
                                            std::uint64_t last_number);

// Clears the parts of the crashes up to `last_number`. Returns the crashes
// whose record changed.
std::vector<ServerIncarnation> ClearParts(QuarantineState& state,
                                          const std::vector<PartId>& parts,
                                          std::uint64_t last_number);

// Marks the candidates of the crash with which answers had begun at this host.
// Returns true if the record changed.
bool MarkProvenParts(QuarantineState& state,
                     const ServerIncarnation& server,
                     const SoundParts& sound);

// Replaces the operators' rules.
void SetRules(QuarantineState& state, std::map<PartId, PartRule> rules);

// Recomputes the derived values if they are out of date, and forgets old
// crashes.
void UpdateVerdicts(QuarantineState& state, TimePoint now);

CrashReport MakeReport(const KnownCrash& crash, TimePoint now);

// A value that is the same at hosts which know the same of the same crashes.
std::uint32_t DigestOf(const QuarantineState& state);

}  // namespace toucanhollow

#endif  // QUARANTINE_QUARANTINE_STATE_H_
