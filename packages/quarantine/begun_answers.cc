#include "quarantine/begun_answers.h"

#include <algorithm>
#include <utility>

namespace toucanhollow {
namespace {

// Answers that speak for every candidate are kept for a while, so that they
// contradict crashes that come later.
constexpr Duration kAnswerRetention = 2 * kMaxCrashDelay;

using AnswersByPart = std::map<PartId, std::vector<const BegunAnswer*>>;

// The answers that servers have survived so far, for each part that is a
// candidate and not cleared.
AnswersByPart FindAnswers(const BegunAnswers& answers,
                          const QuarantineState& state) {
  AnswersByPart found;
  for (const auto& [server, crash] : state.crashes) {
    for (const CrashCandidate& candidate : crash.record.candidates) {
      if (!candidate.cleared) {
        found[candidate.part];
      }
    }
  }
  if (found.empty()) {
    return found;
  }
  for (const auto& [number, answer] : answers.by_attempt) {
    if (state.crashes.contains(answer.server)) {
      continue;
    }
    for (const PartId part : answer.parts) {
      const auto entry = found.find(part);
      if (entry != found.end()) {
        entry->second.push_back(&answer);
      }
    }
  }
  return found;
}

// A late candidate may be contradicted by earlier answers too. A part that ends
// servers from some moment on is held to be sound a little longer by that.
bool SpeaksFor(const BegunAnswer& answer,
               const CrashCandidate& candidate,
               const KnownCrash& crash,
               TimePoint now) {
  const bool is_later = answer.last_crash_number >= crash.number;
  return (is_later || IsLate(candidate)) &&
         now - answer.began_at >= ProofTime(candidate.longest_delay);
}

}  // namespace

void AddAnswer(BegunAnswers& answers,
               AttemptNumber number,
               BegunAnswer answer) {
  const std::size_t count = answer.parts.size();
  if (answers.part_count + count > kMaxBegunParts) {
    return;
  }
  if (answers.by_attempt.emplace(number, std::move(answer)).second) {
    answers.part_count += count;
  }
}

void RemoveAnswer(BegunAnswers& answers, AttemptNumber number) {
  const auto found = answers.by_attempt.find(number);
  if (found != answers.by_attempt.end()) {
    answers.part_count -= found->second.parts.size();
    answers.by_attempt.erase(found);
  }
}

void RecordSurvivedAnswers(BegunAnswers& answers,
                           SoundParts& sound,
                           const QuarantineState& state,
                           TimePoint now) {
  for (auto entry = answers.by_attempt.begin();
       entry != answers.by_attempt.end();) {
    BegunAnswer& answer = entry->second;
    const Duration age = now - answer.began_at;
    const bool crashed = state.crashes.contains(answer.server);
    if (!crashed && !answer.recorded && age >= ProofTime(Duration(0))) {
      answer.recorded = true;
      RecordSoundParts(sound, answer.parts, answer.began_at);
    }
    if (crashed || age > kAnswerRetention) {
      answers.part_count -= answer.parts.size();
      entry = answers.by_attempt.erase(entry);
    } else {
      ++entry;
    }
  }
}

std::vector<ServerIncarnation> ClearSurvivedParts(const BegunAnswers& answers,
                                                  QuarantineState& state,
                                                  TimePoint now) {
  std::vector<ServerIncarnation> changed;
  const AnswersByPart found = FindAnswers(answers, state);
  for (auto& entry : state.crashes) {
    KnownCrash& crash = entry.second;
    bool any = false;
    for (CrashCandidate& candidate : crash.record.candidates) {
      if (!candidate.cleared &&
          std::ranges::any_of(
              found.at(candidate.part), [&](const BegunAnswer* answer) {
                return SpeaksFor(*answer, candidate, crash, now);
              })) {
        candidate.cleared = true;
        any = true;
      }
    }
    if (any) {
      changed.push_back(entry.first);
    }
  }
  if (!changed.empty()) {
    state.valid_until = TimePoint::min();
  }
  return changed;
}

}  // namespace toucanhollow
