// What a rank of a model group says of itself, and the orders it takes.
#ifndef MAP_CHANGE_RANK_REPORT_H_
#define MAP_CHANGE_RANK_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "expert_map/even_split_placement.h"
#include "expert_map/expert_map.h"

namespace toucanhollow {

using GroupMapVersion = std::int64_t;

// One map for each set of layers.
using GroupMap = LayerSetMaps;

struct RankReport {
  std::string server;  // id
  std::string group;
  std::int64_t epoch = 0;  // a group that formed again has a new one
  int rank = 0;
  int size = 0;       // ranks of the group
  bool open = false;  // the group executes passes
  bool busy = false;  // an order is being carried out
  // Orders that the rank has begun. It numbers the state that an order is
  // meant for, so that a late order is refused once another has begun.
  std::int64_t sequence = 0;
  StepNumber step = 0;      // the last pass that began
  GroupMapVersion map = 0;  // in use
  // How many times as long as usual the rank's work takes; 1 for a sound one.
  double pace = 1;
  // A map whose experts are all loaded.
  std::optional<GroupMapVersion> prepared;
  // A map that a coming pass switches to.
  std::optional<GroupMapVersion> armed;
  // The pass that waits for a release.
  std::optional<StepNumber> held;

  bool operator==(const RankReport&) const = default;
};

enum class RankOrderKind {
  kPrepare,  // load the experts of a map
  kArm,      // switch to a prepared map as a pass begins
  kDisarm,   // forget an armed map
  kHold,     // let no pass from `step` on begin
  kRelease,  // end a hold
};

struct RankOrder {
  RankOrderKind kind = RankOrderKind::kPrepare;
  std::string server;
  std::int64_t epoch = 0;
  std::int64_t expected_sequence = 0;
  GroupMapVersion version = 0;  // of kPrepare, kArm and kDisarm
  StepNumber step = 0;          // of kArm, kHold and kRelease

  bool operator==(const RankOrder&) const = default;
};

}  // namespace toucanhollow

#endif  // MAP_CHANGE_RANK_REPORT_H_
