// An expert map: which experts each rank of a model group holds. An expert
// that several ranks hold is replicated, and its tokens are split among them by
// weight. One map holds for all layers.
#ifndef EXPERT_MAP_EXPERT_MAP_H_
#define EXPERT_MAP_EXPERT_MAP_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace toucanhollow {

// Number of a step of a group; all ranks count alike.
using StepNumber = std::int64_t;

// The sum of the weights of an expert's replicas, about.
constexpr int kWeightUnit = 1000;

struct ExpertMap {
  // The experts of each rank, ascending, without repetition on one rank.
  std::vector<std::vector<int>> experts_by_rank;
  // The weight of each of them, in the same order; all above 0. Empty: replicas
  // share evenly.
  std::vector<std::vector<int>> weights_by_rank = {};

  bool operator==(const ExpertMap&) const = default;
};

// The map of a group before any change: slots are filled round robin, so that
// the first `ranks * slots_per_rank % experts` experts have one replica more.
// Requires ranks * slots_per_rank >= experts >= slots_per_rank.
ExpertMap InitialMap(int ranks, int experts, int slots_per_rank);

// The weight of the expert in the slot of the rank.
int WeightOf(const ExpertMap& map, std::size_t rank, std::size_t slot);

// How many ranks hold each expert.
std::vector<int> ReplicaCounts(const ExpertMap& map, int experts);

// The load of each rank, given the load of each expert.
std::vector<double> RankLoads(const ExpertMap& map,
                              std::span<const double> expert_load);

// How many experts ranks must load to change from one map to the other.
std::size_t CountLoads(const ExpertMap& from, const ExpertMap& to);

// Every expert is held, and no rank holds one twice.
bool IsCompleteMap(const ExpertMap& map, int experts);

}  // namespace toucanhollow

#endif  // EXPERT_MAP_EXPERT_MAP_H_
