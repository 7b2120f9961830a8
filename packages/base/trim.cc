#include "base/trim.h"

#include <cstddef>

namespace toucanhollow {

std::string_view Trim(std::string_view text, std::string_view removed) {
  const std::size_t first = text.find_first_not_of(removed);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(removed) - first + 1);
}

}  // namespace toucanhollow
