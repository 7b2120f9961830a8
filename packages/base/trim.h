// Removes characters around a text, white space by default.
#ifndef BASE_TRIM_H_
#define BASE_TRIM_H_

#include <string_view>

namespace toucanhollow {

// Returns the text without the characters of `removed` at both ends.
std::string_view Trim(std::string_view text, std::string_view removed = " \t");

}  // namespace toucanhollow

#endif  // BASE_TRIM_H_
