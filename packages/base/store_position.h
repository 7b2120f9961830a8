// Positions in the histories of the platform's store.
//
// The store may come back from an older copy. Its offsets and the generations
// of its groups then go back and are given out again, so a number orders events
// only within one era.
#ifndef BASE_STORE_POSITION_H_
#define BASE_STORE_POSITION_H_

#include <compare>
#include <cstdint>

namespace toucanhollow {

// Increases each time the store comes back from an older copy. 0 before the
// first answer, and always at a store that names no era.
struct StoreEra {
  std::int64_t value = 0;

  bool operator==(const StoreEra&) const = default;
  auto operator<=>(const StoreEra&) const = default;
};

// The largest era that an answer may name: a JSON number holds it exactly.
inline constexpr std::int64_t kMaxStoreEra = (std::int64_t{1} << 53) - 1;

// The offset of a record in its topic, or the generation of a group.
struct StorePosition {
  StoreEra era;
  std::int64_t number = 0;

  bool operator==(const StorePosition&) const = default;
  auto operator<=>(const StorePosition&) const = default;
};

}  // namespace toucanhollow

#endif  // BASE_STORE_POSITION_H_
