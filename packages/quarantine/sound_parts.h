// SoundParts: the parts of prompts with which answers have begun lately, at one
// host, and have been survived.
#ifndef QUARANTINE_SOUND_PARTS_H_
#define QUARANTINE_SOUND_PARTS_H_

#include <cstddef>
#include <map>
#include <vector>

#include "base/time.h"
#include "quarantine/crash_record.h"
#include "quarantine/prompt_part.h"

namespace toucanhollow {

// A part is remembered for this long after an answer began.
inline constexpr Duration kSoundTime = Seconds(60);
inline constexpr std::size_t kMaxSoundParts = 4096;

struct SoundParts {
  std::map<PartId, TimePoint> began_at;  // the last answer with the part
  TimePoint forgotten_at;                // when old entries were last removed

  bool operator==(const SoundParts&) const = default;
};

// An answer with these parts began at this time, and its server has survived
// it. Beyond kMaxSoundParts, further parts are not recorded until old ones are
// forgotten.
void RecordSoundParts(SoundParts& sound,
                      const std::vector<PartId>& parts,
                      TimePoint began_at);

// Marks as proven the candidates with which answers began at this host before
// `crashed_at`. Returns true if the record changed.
bool MarkProven(CrashRecord& record,
                const SoundParts& sound,
                TimePoint crashed_at);

}  // namespace toucanhollow

#endif  // QUARANTINE_SOUND_PARTS_H_
