// Incarnation: distinguishes one run of a process from its earlier runs.
#ifndef BASE_INCARNATION_H_
#define BASE_INCARNATION_H_

#include <compare>
#include <cstdint>

namespace toucanhollow {

// Start time of the process in microseconds since the Unix epoch, so that a
// later run of the same process compares greater without stored state.
struct Incarnation {
  std::uint64_t value = 0;

  bool operator==(const Incarnation&) const = default;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misparses <=>.
  auto operator<=>(const Incarnation&) const = default;
};

}  // namespace toucanhollow

#endif  // BASE_INCARNATION_H_
