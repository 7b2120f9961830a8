// The records of the log's stream `maps`.
#ifndef EXPERT_MAP_MAP_RECORD_H_
#define EXPERT_MAP_MAP_RECORD_H_

#include <string>
#include <variant>

#include "base/incarnation.h"
#include "base/log_entry.h"
#include "base/name.h"
#include "base/time.h"
#include "expert_map/expert_map.h"

namespace toucanhollow {

// A change is named by the offset of its proposal, which is also the fencing
// token of its orders and the version of its map.
using ChangeOffset = LogOffset;

struct ProposeRecord {
  // The writer's name for the change, to find it again after a lost answer.
  std::string change;
  // The version that the change replaces; 0 is the initial map.
  ChangeOffset base_version = 0;
  ExpertMap map;
  // The first step on the new map.
  StepNumber activation_step = 0;
  // Confirms of the ranks 0 to ranks - 1 are needed.
  int ranks = 0;
  // Expected time from the proposal to the activation step.
  Duration lead{};
  ProcessName proposer;

  bool operator==(const ProposeRecord&) const = default;
};

struct ConfirmRecord {
  ChangeOffset change = 0;
  int rank = 0;
  Incarnation agent;
  Incarnation engine;
  // The engine's step when it reported weights staged and the hold in place.
  StepNumber engine_step = 0;

  bool operator==(const ConfirmRecord&) const = default;
};

struct AbortRecord {
  ChangeOffset change = 0;
  std::string reason;

  bool operator==(const AbortRecord&) const = default;
};

// Carries the current map past the log's retention. Written only while no
// change is open.
struct MapRefreshRecord {
  // Offset of the proposal that was committed, 0 for the initial map.
  ChangeOffset version = 0;
  ExpertMap map;
  StepNumber activation_step = 0;
  // The highest activation step of any accepted proposal.
  StepNumber last_step = 0;
  // Everything up to this offset is decided in this record.
  LogOffset as_of = 0;

  bool operator==(const MapRefreshRecord&) const = default;
};

// An entry that cannot be read.
struct UnreadableMapRecord {
  bool operator==(const UnreadableMapRecord&) const = default;
};

// A decoded log entry of stream `maps`.
struct MapEntry {
  LogOffset offset = 0;
  WallTime time;
  // The model group that the record is about.
  ServiceName group;
  std::variant<UnreadableMapRecord,
               ProposeRecord,
               ConfirmRecord,
               AbortRecord,
               MapRefreshRecord>
      record;

  bool operator==(const MapEntry&) const = default;
};

}  // namespace toucanhollow

#endif  // EXPERT_MAP_MAP_RECORD_H_
