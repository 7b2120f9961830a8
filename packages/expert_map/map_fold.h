// The fold over stream `maps`. It decides map changes from the order of the log
// alone, so every process reaches the same decisions.
//
// Invariants:
// - M1 At most one change of a group is open. A proposal is void if a change is
//   open, if its base version is not the current one, or if its activation step
//   is not above that of every accepted proposal. As no two changes share a
//   step, a delayed order for one cannot release the hold of another.
// - M2 A change is committed at the offset of the last confirm that it needs,
//   unless an abort precedes that confirm. Either decision is final; later
//   records of the change are ignored.
// - M3 Only the first confirm of a rank counts. It stays valid if the engine is
//   replaced later, since the group cannot step without the rank, and the new
//   engine loads the map that MapForStep returns.
// - M4 MapForStep returns no map for a step whose map is not decided. No engine
//   is therefore ordered to run a step on a map that may change.
#ifndef EXPERT_MAP_MAP_FOLD_H_
#define EXPERT_MAP_MAP_FOLD_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/log_entry.h"
#include "base/name.h"
#include "base/time.h"
#include "expert_map/map_record.h"

namespace toucanhollow {

// How many decided changes of a group are retained, for agents that resume
// after a long pause and for engines that still hold for one of them.
constexpr std::size_t kMaxRetainedMapChanges = 16;

// A map and the first step that it is in force for. Version 0 is the group's
// initial map; its `map` is empty here.
struct MapVersion {
  ChangeOffset version = 0;
  ExpertMap map;
  StepNumber activation_step = 0;

  bool operator==(const MapVersion&) const = default;
};

// An accepted proposal that is not decided.
struct OpenChange {
  ChangeOffset offset = 0;
  ProposeRecord proposal;
  // By rank.
  std::map<int, ConfirmRecord> confirms;

  bool operator==(const OpenChange&) const = default;
};

struct DecidedChange {
  ChangeOffset offset = 0;
  // The name from the proposal.
  std::string change;
  StepNumber activation_step = 0;
  bool committed = false;
  // The offset of the deciding confirm or abort.
  LogOffset decided_at = 0;
  // Why the change was aborted; empty if it was committed.
  std::string reason;

  bool operator==(const DecidedChange&) const = default;
};

struct GroupMaps {
  // Committed maps in ascending order of activation step, the current one last.
  // The first may be the initial map.
  std::deque<MapVersion> versions = {MapVersion{}};
  std::optional<OpenChange> open;
  std::deque<DecidedChange> decided;
  // The highest activation step of any accepted proposal.
  StepNumber highest_activation_step = 0;
  // Names of void proposals, the latest last. Their writers learn of it here.
  std::deque<std::string> void_proposals;
  // The time stamp of the last entry that committed or repeated the current
  // map.
  WallTime current_map_written_at;
  // False after the log dropped entries that were not read, until a refresh
  // supplies the state.
  bool known = true;
  // Entries read while the state is not known; folded after the refresh.
  std::vector<MapEntry> deferred_entries;

  bool operator==(const GroupMaps&) const = default;
};

struct MapFold {
  LogOffset next_offset = 1;
  // Every entry from this offset up to `next_offset`, exclusive, was read.
  LogOffset contiguous_from = 1;
  std::map<ServiceName, GroupMaps> groups;

  bool operator==(const MapFold&) const = default;
};

// Folds the next entry. Entries below `next_offset` are ignored. An offset
// above it means that the log dropped the entries in between.
MapFold FoldMapEntry(MapFold fold, const MapEntry& entry);

// The state of a group. A group without entries has the initial state, or an
// unknown one if the log dropped entries.
GroupMaps MapsOfGroup(const MapFold& fold, const ServiceName& group);

// The map in force for a step; none if it is not decided, not known, or no
// longer retained.
std::optional<MapVersion> MapForStep(const GroupMaps& maps, StepNumber step);

// The map in force once every decided change is active.
const MapVersion& CurrentMap(const GroupMaps& maps);

// The decision about a change, if it was read and is still retained.
std::optional<DecidedChange> DecisionOf(const GroupMaps& maps,
                                        ChangeOffset change);

}  // namespace toucanhollow

#endif  // EXPERT_MAP_MAP_FOLD_H_
