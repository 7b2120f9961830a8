// Splits the tokens of replicated experts among their replicas so that ranks
// are loaded evenly. Changing the split needs no expert to be loaded, so it is
// the cheapest way to improve a map.
#ifndef EXPERT_MAP_REPLICA_WEIGHTS_H_
#define EXPERT_MAP_REPLICA_WEIGHTS_H_

#include <span>
#include <vector>

#include "expert_map/expert_map.h"

namespace toucanhollow {

// Tokens per step of each expert on each rank, in the order of
// ExpertMap::experts_by_rank.
using RankShares = std::vector<std::vector<double>>;

// The split that follows from the map's weights.
RankShares SharesOf(const ExpertMap& map,
                    std::span<const double> tokens_per_step);

// The split that balances the loads of the ranks. Which rank holds which expert
// stays as in the map; its weights are ignored.
RankShares BalanceShares(const ExpertMap& map,
                         std::span<const double> tokens_per_step);

// Replaces the map's weights by those that correspond to BalanceShares.
ExpertMap BalanceReplicas(ExpertMap map,
                          std::span<const double> tokens_per_step);

}  // namespace toucanhollow

#endif  // EXPERT_MAP_REPLICA_WEIGHTS_H_
