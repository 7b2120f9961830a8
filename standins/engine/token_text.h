// The stand-in engine's answers: a function of prompt and index, so that a
// test can tell whether an answer is whole and its own.
#ifndef STANDINS_ENGINE_TOKEN_TEXT_H_
#define STANDINS_ENGINE_TOKEN_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace toucanhollow {

// "<five digits> "
std::string TokenText(std::string_view prompt, std::int64_t index);

// The whole answer: the tokens 0 to count - 1.
std::string AnswerText(std::string_view prompt, std::int64_t count);

}  // namespace toucanhollow

#endif  // STANDINS_ENGINE_TOKEN_TEXT_H_
