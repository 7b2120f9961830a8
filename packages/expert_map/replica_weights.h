// Splits the tokens of replicated experts among their replicas so that ranks
// are loaded evenly. Another split loads no weights, so that it is the cheapest
// correction of a map.
#ifndef EXPERT_MAP_REPLICA_WEIGHTS_H_
#define EXPERT_MAP_REPLICA_WEIGHTS_H_

#include <span>
#include <vector>

#include "expert_map/expert_map.h"

namespace toucanhollow {

// Tokens of each expert on each rank, in the order of experts_by_rank.
using RankShares = std::vector<std::vector<double>>;

// How the map splits the tokens.
RankShares SharesOf(const ExpertMap& map,
                    std::span<const double> tokens_per_step);

// The split that evens the loads of the ranks, for the given holders.
RankShares BalanceShares(const ExpertMap& map,
                         std::span<const double> tokens_per_step);

// The map with the weights that BalanceShares gives.
ExpertMap BalanceReplicas(ExpertMap map,
                          std::span<const double> tokens_per_step);

}  // namespace toucanhollow

#endif  // EXPERT_MAP_REPLICA_WEIGHTS_H_
