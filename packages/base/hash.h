// Hash functions whose values are the same in every process and version, so
// that all processes rank candidates in the same order.
#ifndef BASE_HASH_H_
#define BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace toucanhollow {

// 64-bit xxHash of the text.
std::uint64_t HashText(std::string_view text, std::uint64_t seed = 0);

// Rendezvous (highest random weight) score of a candidate for a key. The
// key is assigned to the candidate with the highest score.
std::uint64_t RendezvousScore(std::string_view key, std::string_view candidate);

}  // namespace toucanhollow

#endif  // BASE_HASH_H_
