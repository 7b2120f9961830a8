// The proposing side of one agent: estimates popularity from its engine's
// counts and proposes a map when a change is worth its cost.
#ifndef EXPERT_MAP_ADVANCE_PROPOSER_H_
#define EXPERT_MAP_ADVANCE_PROPOSER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/incarnation.h"
#include "base/name.h"
#include "base/time.h"
#include "expert_map/map_fold.h"
#include "expert_map/placement.h"
#include "expert_map/popularity.h"
#include "expert_map/propose_change.h"

namespace toucanhollow {

// Each rank waits this much longer than the rank before it, so that usually
// the lowest rank whose agent is alive proposes. Two proposals do no harm.
constexpr Duration kProposerStagger = Seconds(5);
// Part of a step's time that grows with the tokens of the slowest rank. The
// measurements of placement assume the same half.
constexpr double kExpertPartOfStep = 0.5;
// Loading time of one expert, for the lead of a change.
constexpr Duration kExpertLoadTime = Milliseconds(400);

// What the engine has counted since it started.
struct ExpertCounts {
  Incarnation engine;
  StepNumber step = 0;
  Duration step_time{};
  std::vector<std::int64_t> tokens;

  bool operator==(const ExpertCounts&) const = default;
};

// The group as its record describes it.
struct ModelGroupShape {
  ServiceName group;
  int ranks = 0;
  int experts = 0;
  // Experts that a rank has room for, replicas included.
  int slots_per_rank = 0;

  bool operator==(const ModelGroupShape&) const = default;
};

struct Proposer {
  ProcessName process;
  int rank = 0;
  PlacementCosts costs;
  Popularity popularity;
  std::optional<ExpertCounts> last_counts;
  // Since when a change has been worth it.
  std::optional<TimePoint> wanted_since;
  // The last time that this agent proposed or saw another version.
  std::optional<TimePoint> last_change;
  ChangeOffset known_version = 0;
  // Counts proposals, to name them.
  std::uint64_t proposals = 0;

  bool operator==(const Proposer&) const = default;
};

struct ProposerStep {
  Proposer proposer;
  // To be appended to stream `maps`.
  std::optional<ProposeRecord> proposal;
};

// Takes in the engine's counts. Nothing is proposed while the log is slow or
// down, a change is open, or the stream is not read to its end.
ProposerStep AdvanceProposer(Proposer proposer,
                             const MapFold& fold,
                             const ModelGroupShape& shape,
                             const MapLogStatus& log,
                             const ExpertCounts& counts,
                             TimePoint now);

}  // namespace toucanhollow

#endif  // EXPERT_MAP_ADVANCE_PROPOSER_H_
