// BegunAnswers: the answers of one host that have begun, and what it proves
// that their servers survive them.
//
// A server that a part ends may have written some of the answer before, or all
// of it. So an answer speaks for the parts of its prompt only once its server
// has survived it for a while: longer than the server whose crash speaks
// against them.
#ifndef QUARANTINE_BEGUN_ANSWERS_H_
#define QUARANTINE_BEGUN_ANSWERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "base/time.h"
#include "quarantine/attempt_table.h"
#include "quarantine/crash_record.h"
#include "quarantine/prompt_part.h"
#include "quarantine/quarantine_state.h"
#include "quarantine/sound_parts.h"

namespace toucanhollow {

// Answers beyond this number of parts prove nothing.
inline constexpr std::size_t kMaxBegunParts = std::size_t{64} * 1024;

struct BegunAnswer {
  ServerIncarnation server;
  std::vector<PartId> parts;  // ordered
  // As in PromptAttempt.
  std::uint64_t last_crash_number = 0;
  TimePoint began_at;
  // Its parts are among the sound ones.
  bool recorded = false;

  bool operator==(const BegunAnswer&) const = default;
};

struct BegunAnswers {
  std::map<AttemptNumber, BegunAnswer> by_attempt;
  std::size_t part_count = 0;

  bool operator==(const BegunAnswers&) const = default;
};

void AddAnswer(BegunAnswers& answers, AttemptNumber number, BegunAnswer answer);

// The attempt was lost, if its answer had begun.
void RemoveAnswer(BegunAnswers& answers, AttemptNumber number);

// Records the parts of answers that servers have survived for the shortest
// ProofTime, and removes answers that prove nothing any more.
void RecordSurvivedAnswers(BegunAnswers& answers,
                           SoundParts& sound,
                           const QuarantineState& state,
                           TimePoint now);

// Clears the candidates of crashes for which an answer speaks that a server has
// survived: one to a request that was sent when the crash was known or, if the
// candidate is late, any. Returns the crashes whose record changed.
std::vector<ServerIncarnation> ClearSurvivedParts(const BegunAnswers& answers,
                                                  QuarantineState& state,
                                                  TimePoint now);

}  // namespace toucanhollow

#endif  // QUARANTINE_BEGUN_ANSWERS_H_
