#include "quarantine/sound_parts.h"

#include <algorithm>

namespace toucanhollow {
namespace {

constexpr Duration kForgetPeriod = Seconds(5);

}  // namespace

void RecordSoundParts(SoundParts& sound,
                      const std::vector<PartId>& parts,
                      TimePoint began_at) {
  if (began_at - sound.forgotten_at >= kForgetPeriod) {
    sound.forgotten_at = began_at;
    std::erase_if(sound.began_at, [began_at](const auto& entry) {
      return began_at - entry.second > kSoundTime;
    });
  }
  for (const PartId part : parts) {
    if (sound.began_at.size() < kMaxSoundParts ||
        sound.began_at.contains(part)) {
      TimePoint& last = sound.began_at[part];
      last = std::max(last, began_at);
    }
  }
}

bool MarkProven(CrashRecord& record,
                const SoundParts& sound,
                TimePoint crashed_at) {
  bool changed = false;
  for (CrashCandidate& candidate : record.candidates) {
    const auto found = sound.began_at.find(candidate.part);
    if (!candidate.proven && found != sound.began_at.end() &&
        found->second < crashed_at) {
      candidate.proven = true;
      changed = true;
    }
  }
  return changed;
}

}  // namespace toucanhollow
