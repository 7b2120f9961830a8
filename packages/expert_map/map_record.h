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

// Identifies a change: the offset of its proposal. It is also the fencing token
// of the change's orders and the version of its map.
using ChangeOffset = LogOffset;

struct ProposeRecord {
  // The writer's name for the change, by which it finds the proposal in the log
  // if the response to the append is lost.
  std::string change;
  // The version that the change replaces; 0 is the initial map.
  ChangeOffset base_version = 0;
  ExpertMap map;
  // The first step that runs on the new map.
  StepNumber activation_step = 0;
  // The change needs a confirm from each of the ranks 0 to ranks - 1.
  int ranks = 0;
  // Expected time from the proposal to the activation step.
  Duration lead{};
  ProcessName proposer;

  bool operator==(const ProposeRecord&) const = default;
};

// An agent's statement that its engine is ready to activate a change.
struct ConfirmRecord {
  ChangeOffset change = 0;
  int rank = 0;
  Incarnation agent;
  Incarnation engine;
  // The engine's step when it reported that the weights are staged and the hold
  // is in place.
  StepNumber engine_step = 0;

  bool operator==(const ConfirmRecord&) const = default;
};

struct AbortRecord {
  ChangeOffset change = 0;
  std::string reason;

  bool operator==(const AbortRecord&) const = default;
};

// Repeats the current map, so that it stays in the log beyond the retention.
// Written only while no change is open.
struct MapRefreshRecord {
  // The offset of the committed proposal; 0 for the initial map.
  ChangeOffset version = 0;
  ExpertMap map;
  StepNumber activation_step = 0;
  // The highest activation step of any accepted proposal.
  StepNumber highest_activation_step = 0;
  // This record reflects all entries up to this offset.
  LogOffset as_of = 0;

  bool operator==(const MapRefreshRecord&) const = default;
};

// An entry that could not be decoded.
struct UnreadableMapRecord {
  bool operator==(const UnreadableMapRecord&) const = default;
};

// A decoded log entry of stream `maps`.
struct MapEntry {
  LogOffset offset = 0;
  WallTime time;
  // The model group that the record concerns.
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
