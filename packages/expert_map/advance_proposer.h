// The proposer in the agent of one rank: estimates expert popularity from its
// engine's token counts and proposes a new map when the benefit of the change
// exceeds its cost.
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
// only the lowest rank whose agent is alive proposes. Concurrent proposals are
// harmless: only the first is accepted and the others are void.
constexpr Duration kProposerStagger = Seconds(5);
// The fraction of the step time that is proportional to the tokens of the most
// loaded rank. The placement benchmark assumes the same value.
constexpr double kExpertFractionOfStepTime = 0.5;
// The time that a rank needs to load one expert. The lead time of a change
// follows from it.
constexpr Duration kExpertLoadTime = Milliseconds(400);

// The tokens that the engine has counted since it started.
struct ExpertCounts {
  Incarnation engine;
  StepNumber step = 0;
  Duration step_time{};
  // By expert.
  std::vector<std::int64_t> tokens;

  bool operator==(const ExpertCounts&) const = default;
};

// The dimensions of a model group, from its configuration record.
struct ModelGroupShape {
  ServiceName group;
  int ranks = 0;
  int experts = 0;
  // The number of experts that a rank can hold, replicas included.
  int slots_per_rank = 0;

  bool operator==(const ModelGroupShape&) const = default;
};

struct Proposer {
  ProcessName process;
  int rank = 0;
  PlacementCosts costs;
  Popularity popularity;
  std::optional<ExpertCounts> last_counts;
  // Since when a change has been worth its cost without interruption.
  std::optional<TimePoint> worthwhile_since;
  // When this agent last proposed a change or saw a new version.
  std::optional<TimePoint> last_change;
  // The version of the current map at the last call.
  ChangeOffset last_seen_version = 0;
  // The number of proposals so far; part of a change's name.
  std::uint64_t proposal_count = 0;

  bool operator==(const Proposer&) const = default;
};

struct ProposerStep {
  Proposer proposer;
  // The caller appends it to stream `maps`.
  std::optional<ProposeRecord> proposal;
};

// Updates the popularity estimate from the engine's counts and decides whether
// to propose a change. Nothing is proposed while the log is slow or
// unreachable, a change is open, or the stream has not been read to its end.
ProposerStep AdvanceProposer(Proposer proposer,
                             const MapFold& fold,
                             const ModelGroupShape& shape,
                             const MapLogStatus& log,
                             const ExpertCounts& counts,
                             TimePoint now);

}  // namespace toucanhollow

#endif  // EXPERT_MAP_ADVANCE_PROPOSER_H_
