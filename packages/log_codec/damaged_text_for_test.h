// Generates damaged payloads for the decoder tests.
#ifndef LOG_CODEC_DAMAGED_TEXT_FOR_TEST_H_
#define LOG_CODEC_DAMAGED_TEXT_FOR_TEST_H_

#include <random>
#include <string>

namespace toucanhollow {

// Returns the text with a few bytes replaced, removed or repeated.
inline std::string DamageText(std::string text, std::mt19937_64& random) {
  const auto pick = [&](std::size_t bound) { return random() % bound; };
  const std::size_t changes = 1 + pick(4);
  for (std::size_t i = 0; i < changes && !text.empty(); ++i) {
    const std::size_t at = pick(text.size());
    switch (pick(4)) {
      case 0:
        text[at] = static_cast<char>(pick(256));
        break;
      case 1:
        text.erase(at, 1 + pick(8));
        break;
      case 2:
        text.insert(at, text.substr(pick(text.size()), 1 + pick(16)));
        break;
      default:
        text[at] = "{}[]\":,0-9e"[pick(11)];
        break;
    }
  }
  return text;
}

}  // namespace toucanhollow

#endif  // LOG_CODEC_DAMAGED_TEXT_FOR_TEST_H_
