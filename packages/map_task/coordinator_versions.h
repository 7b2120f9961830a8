// The versions of expert maps that a coordinator may give out in its term. No
// two coordinators and no two groups ever use the same one.
#ifndef MAP_TASK_COORDINATOR_VERSIONS_H_
#define MAP_TASK_COORDINATOR_VERSIONS_H_

#include <cstdint>

#include "map_change/rank_report.h"

namespace toucanhollow {

struct CoordinatorVersions {
  // The term; also the fencing token of orders.
  std::int64_t generation = 0;
  bool is_coordinator = false;
  // Versions used in this term.
  std::int64_t used_count = 0;
  // A rank said that a coordinator of a later term than this has taken over.
  std::int64_t deposed_generation = 0;

  bool operator==(const CoordinatorVersions&) const = default;
};

inline constexpr GroupMapVersion kVersionsPerGeneration = 1 << 16;

constexpr GroupMapVersion NextFreeVersion(const CoordinatorVersions& versions) {
  return versions.generation * kVersionsPerGeneration + versions.used_count + 1;
}

// The term of the coordinator that gave the version out; 0 for the first map.
constexpr std::int64_t GenerationOf(GroupMapVersion version) {
  return version / kVersionsPerGeneration;
}

}  // namespace toucanhollow

#endif  // MAP_TASK_COORDINATOR_VERSIONS_H_
