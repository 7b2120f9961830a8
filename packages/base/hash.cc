#include "base/hash.h"

#include <xxhash.h>

namespace toucanhollow {

std::uint64_t HashText(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

std::uint64_t RendezvousScore(std::string_view key,
                              std::string_view candidate) {
  return HashText(candidate, HashText(key));
}

}  // namespace toucanhollow
