// The state that a rank of a model group reports, and the orders that it
// accepts.
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
  // Start of the engine's process, in Unix ms; 0 if the engine does not say.
  std::int64_t start_time_ms = 0;
  std::string group;
  std::int64_t epoch = 0;  // changes when the group is re-formed
  int rank = 0;
  int size = 0;       // ranks of the group
  bool open = false;  // the group executes passes
  bool busy = false;  // an order is being executed
  // The number of orders that the rank has begun to execute. An order names the
  // sequence that it expects, so that a delayed order is refused once another
  // one has begun.
  std::int64_t sequence = 0;
  StepNumber step = 0;      // the last pass that began
  GroupMapVersion map = 0;  // version of the map in use
  // How many times as long as usual the rank's work takes; 1 for a healthy
  // rank.
  double slowdown = 1;
  // The version of a map whose experts are all loaded.
  std::optional<GroupMapVersion> prepared;
  // The version that the rank switches to at a future pass.
  std::optional<GroupMapVersion> armed;
  // The pass that does not begin until it is released.
  std::optional<StepNumber> held;

  bool operator==(const RankReport&) const = default;
};

enum class RankOrderKind {
  kPrepare,  // load the experts of a map
  kArm,      // switch to a prepared map when pass `step` begins
  kDisarm,   // cancel the switch to an armed map
  kHold,     // do not begin pass `step` or any later one
  kRelease,  // end the hold of pass `step`
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
