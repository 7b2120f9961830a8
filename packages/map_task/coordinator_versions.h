// The map versions that a coordinator may assign in its term. No two
// coordinators and no two groups ever use the same version.
#ifndef MAP_TASK_COORDINATOR_VERSIONS_H_
#define MAP_TASK_COORDINATOR_VERSIONS_H_

#include <cstdint>

#include "map_change/rank_report.h"

namespace toucanhollow {

struct CoordinatorVersions {
  // The generation of the term; also the fencing token of orders.
  std::int64_t generation = 0;
  bool is_coordinator = false;
  // The number of versions used in this term.
  std::int64_t used_count = 0;
  // The last term of this host in which a rank showed that a coordinator of a
  // later term has taken over.
  std::int64_t deposed_generation = 0;

  bool operator==(const CoordinatorVersions&) const = default;
};

inline constexpr GroupMapVersion kVersionsPerGeneration = 1 << 16;

// Returns the lowest version of this term that has not been used.
constexpr GroupMapVersion NextFreeVersion(const CoordinatorVersions& versions) {
  return versions.generation * kVersionsPerGeneration + versions.used_count + 1;
}

// Returns the generation of the coordinator that assigned the version; 0 for
// the initial map.
constexpr std::int64_t GetGeneration(GroupMapVersion version) {
  return version / kVersionsPerGeneration;
}

}  // namespace toucanhollow

#endif  // MAP_TASK_COORDINATOR_VERSIONS_H_
