// The fold over stream `maps`. It decides map changes from the order of the
// log alone, alike in every process.
//
// Invariants:
// - M1 At most one change of a group is open. A proposal is void if a change is
//   open, if its base version is not the current one, or if its activation step
//   is not above that of every accepted proposal. As no two changes share a
//   step, a late order for one cannot lift the hold of another.
// - M2 A change is committed at the offset of the last confirm that it needs,
//   unless an abort stands before. Either is final; later records of the change
//   are ignored.
// - M3 The first confirm of a rank counts. A confirm of a replaced engine stays
//   valid, since the group cannot step without the rank, and its new engine
//   loads the map that MapForStep gives.
// - M4 MapForStep gives no map for a step whose map is not decided, so that
//   nobody orders a step on a guess.
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

// Decided changes of a group that are kept, for agents that wake late and for
// engines that still hold for one of them.
constexpr std::size_t kKeptMapChanges = 16;

// A map with the first step that it is in force for. Version 0 stands for the
// group's initial map and has an empty map here.
struct MapVersion {
  ChangeOffset version = 0;
  ExpertMap map;
  StepNumber activation_step = 0;

  bool operator==(const MapVersion&) const = default;
};

struct OpenChange {
  ChangeOffset offset = 0;
  ProposeRecord proposal;
  std::map<int, ConfirmRecord> confirms;

  bool operator==(const OpenChange&) const = default;
};

struct DecidedChange {
  ChangeOffset offset = 0;
  std::string change;
  StepNumber activation_step = 0;
  bool committed = false;
  // Of the deciding confirm or abort.
  LogOffset decided_at = 0;
  // Why it was aborted.
  std::string reason;

  bool operator==(const DecidedChange&) const = default;
};

struct GroupMaps {
  // Committed maps by ascending activation step, the current one last. The
  // first one may be the initial map.
  std::deque<MapVersion> versions = {MapVersion{}};
  std::optional<OpenChange> open;
  std::deque<DecidedChange> decided;
  // The highest activation step of any accepted proposal.
  StepNumber last_step = 0;
  // Names of proposals that were void, latest last, for their writers.
  std::deque<std::string> void_proposals;
  // The time stamp of the last entry that carried the current map.
  WallTime youngest_copy;
  // False after the log dropped entries, until a refresh tells the state.
  bool known = true;
  // Entries read while the state is not known.
  std::vector<MapEntry> waiting;

  bool operator==(const GroupMaps&) const = default;
};

struct MapFold {
  LogOffset next_offset = 1;
  LogOffset contiguous_from = 1;
  std::map<ServiceName, GroupMaps> groups;

  bool operator==(const MapFold&) const = default;
};

// Folds the next entry. Entries below `next_offset` change nothing; a higher
// offset means that the log dropped the entries between.
MapFold FoldMapEntry(MapFold fold, const MapEntry& entry);

// The state of a group; of a group without entries, the initial one.
GroupMaps MapsOfGroup(const MapFold& fold, const ServiceName& group);

// The map in force for a step; none while it is not decided or not known.
std::optional<MapVersion> MapForStep(const GroupMaps& maps, StepNumber step);

// The map in force after every change that was decided.
const MapVersion& CurrentMap(const GroupMaps& maps);

// The decision about a change, if it was read.
std::optional<DecidedChange> DecisionOf(const GroupMaps& maps,
                                        ChangeOffset change);

}  // namespace toucanhollow

#endif  // EXPERT_MAP_MAP_FOLD_H_
