// An expert map: which experts each rank of a model group holds. An expert
// that several ranks hold is replicated, and its tokens are split among them by
// weight. One map applies to all layers.
#ifndef EXPERT_MAP_EXPERT_MAP_H_
#define EXPERT_MAP_EXPERT_MAP_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace toucanhollow {

// The number of a step of a model group. All ranks number the steps alike.
using StepNumber = std::int64_t;

// The weights of an expert's replicas add up to about this. Rounding and the
// minimum weight of 1 shift the sum a little.
constexpr int kWeightUnit = 1000;

struct ExpertMap {
  // The experts of each rank, in ascending order and without duplicates.
  std::vector<std::vector<int>> experts_by_rank;
  // The weight of each expert in `experts_by_rank`, in the same order; all
  // above 0. If empty, the replicas of an expert share its tokens evenly.
  std::vector<std::vector<int>> weights_by_rank = {};

  bool operator==(const ExpertMap&) const = default;
};

// The map of a group before any change. Slots are filled round robin, so that
// the first `ranks * slots_per_rank % experts` experts have one more replica
// than the others.
// Requires ranks * slots_per_rank >= experts >= slots_per_rank.
ExpertMap InitialMap(int ranks, int experts, int slots_per_rank);

// The weight of the expert in a slot of a rank; 1 if the map has no weights.
int WeightOf(const ExpertMap& map, std::size_t rank, std::size_t slot);

// The number of ranks that hold each expert.
std::vector<int> ReplicaCounts(const ExpertMap& map, int experts);

// The load of each rank, given the load of each expert, in the same unit.
std::vector<double> RankLoads(const ExpertMap& map,
                              std::span<const double> expert_load);

// The number of experts, over all ranks, whose weights must be loaded to change
// from one map to the other.
std::size_t CountExpertsToLoad(const ExpertMap& from, const ExpertMap& to);

// True if every expert is held by at least one rank, no rank holds an expert
// twice, and the weights are absent or complete and above 0.
bool IsCompleteMap(const ExpertMap& map, int experts);

}  // namespace toucanhollow

#endif  // EXPERT_MAP_EXPERT_MAP_H_
