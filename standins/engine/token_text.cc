#include "standins/engine/token_text.h"

#include "base/hash.h"

namespace toucanhollow {

std::string TokenText(std::string_view prompt, std::int64_t index) {
  constexpr std::uint64_t kSmallest = 10'000;
  constexpr std::uint64_t kCount = 90'000;
  const std::uint64_t hash =
      HashText(prompt, static_cast<std::uint64_t>(index));
  return std::to_string(kSmallest + hash % kCount) + ' ';
}

std::string AnswerText(std::string_view prompt, std::int64_t count) {
  std::string text;
  for (std::int64_t index = 0; index < count; ++index) {
    text += TokenText(prompt, index);
  }
  return text;
}

}  // namespace toucanhollow
