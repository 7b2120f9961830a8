// The fencing tokens and map versions that a coordinator may use in its term.
// No two coordinators and no two groups ever use the same version.
//
// Ranks refuse orders with lower tokens and versions than they have had, but
// the generations of the coordinators' group go back when the store comes back
// from an older copy. Tokens therefore count eras and generations together.
#ifndef MAP_CHANGE_COORDINATOR_VERSIONS_H_
#define MAP_CHANGE_COORDINATOR_VERSIONS_H_

#include <cstdint>

#include "base/store_position.h"
#include "map_change/rank_report.h"

namespace toucanhollow {

struct CoordinatorVersions {
  // The generation of the term.
  StorePosition generation;
  bool is_coordinator = false;
  // The number of versions used in this term.
  std::int64_t used_count = 0;
  // The last term of this host in which a rank showed that a coordinator of a
  // later term has taken over.
  StorePosition deposed_generation;

  bool operator==(const CoordinatorVersions&) const = default;
};

// A version is a number in JSON, which holds integers below 2^53 exactly: 13
// bits of it are the era, 24 the generation and 16 the number in the term.
inline constexpr std::int64_t kGenerationsPerEra = std::int64_t{1} << 24;
inline constexpr std::int64_t kErasWithTokens = std::int64_t{1} << 13;
inline constexpr GroupMapVersion kVersionsPerGeneration = 1 << 16;

// Whether terms of this generation have fencing tokens of their own. A host
// does not coordinate in others, because ranks could not tell its orders from
// those of another coordinator.
constexpr bool HasFencingToken(const StorePosition& generation) {
  return generation.number >= 0 && generation.number < kGenerationsPerEra &&
         generation.era.value >= 0 && generation.era.value < kErasWithTokens;
}

// The fencing token of orders in a term, which increases with the generation.
// Equals its number at a store that names no era. Requires HasFencingToken.
constexpr std::int64_t FencingToken(const StorePosition& generation) {
  return generation.era.value * kGenerationsPerEra + generation.number;
}

// The next version would be one of the next generation.
inline constexpr std::int64_t kMaxVersionsInTerm = kVersionsPerGeneration - 1;

// Returns the lowest version of this term that has not been used. Requires that
// fewer than kMaxVersionsInTerm have been used.
constexpr GroupMapVersion NextFreeVersion(const CoordinatorVersions& versions) {
  return FencingToken(versions.generation) * kVersionsPerGeneration +
         versions.used_count + 1;
}

// Returns the fencing token of the coordinator that assigned the version; 0 for
// the initial map.
constexpr std::int64_t GetFencingToken(GroupMapVersion version) {
  return version / kVersionsPerGeneration;
}

}  // namespace toucanhollow

#endif  // MAP_CHANGE_COORDINATOR_VERSIONS_H_
