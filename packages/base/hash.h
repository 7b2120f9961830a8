// Hashing: stable across processes and versions, so that every process ranks
// candidates alike.
#ifndef BASE_HASH_H_
#define BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace toucanhollow {

// 64-bit xxHash of the text.
std::uint64_t HashText(std::string_view text, std::uint64_t seed = 0);

// Rendezvous (highest random weight) score of a candidate for a key. The
// candidate with the highest score owns the key.
std::uint64_t RendezvousScore(std::string_view key, std::string_view candidate);

}  // namespace toucanhollow

#endif  // BASE_HASH_H_
