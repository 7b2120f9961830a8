#include "expert_map/replica_weights.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

namespace toucanhollow {
namespace {

// Each sweep balances the holders of one expert after the other. The loads
// converge geometrically; 40 sweeps bring 64 ranks within 0.1% of the limit.
constexpr int kSweeps = 40;

// The position of one replica of an expert in the map.
struct Replica {
  std::size_t rank = 0;
  std::size_t slot = 0;
};

std::vector<std::vector<Replica>> FindReplicas(const ExpertMap& map,
                                               std::size_t experts) {
  std::vector<std::vector<Replica>> replicas(experts);
  for (std::size_t rank = 0; rank < map.experts_by_rank.size(); ++rank) {
    const auto& held = map.experts_by_rank[rank];
    for (std::size_t slot = 0; slot < held.size(); ++slot) {
      replicas[static_cast<std::size_t>(held[slot])].push_back({rank, slot});
    }
  }
  return replicas;
}

// Splits one expert's tokens by water-filling: its holders reach a common load,
// except those whose other experts already exceed it, which get nothing.
void WaterFill(const std::vector<Replica>& replicas,
               double tokens,
               RankShares& shares,
               std::vector<double>& load) {
  std::vector<double> other_loads;
  other_loads.reserve(replicas.size());
  for (const Replica& replica : replicas) {
    load[replica.rank] -= shares[replica.rank][replica.slot];
    other_loads.push_back(load[replica.rank]);
  }
  std::ranges::sort(other_loads);
  double sum_of_others = 0;
  double level = 0;
  for (std::size_t count = 1; count <= other_loads.size(); ++count) {
    sum_of_others += other_loads[count - 1];
    level = (tokens + sum_of_others) / static_cast<double>(count);
    if (count == other_loads.size() || level <= other_loads[count]) {
      break;
    }
  }
  for (const Replica& replica : replicas) {
    const double share = std::max(0.0, level - load[replica.rank]);
    shares[replica.rank][replica.slot] = share;
    load[replica.rank] += share;
  }
}

}  // namespace

RankShares SharesOf(const ExpertMap& map,
                    std::span<const double> tokens_per_step) {
  std::vector<double> weight_sum(tokens_per_step.size(), 0);
  for (std::size_t rank = 0; rank < map.experts_by_rank.size(); ++rank) {
    const auto& held = map.experts_by_rank[rank];
    for (std::size_t slot = 0; slot < held.size(); ++slot) {
      weight_sum[static_cast<std::size_t>(held[slot])] +=
          WeightOf(map, rank, slot);
    }
  }
  RankShares shares;
  for (std::size_t rank = 0; rank < map.experts_by_rank.size(); ++rank) {
    const auto& held = map.experts_by_rank[rank];
    std::vector<double>& rank_shares = shares.emplace_back();
    for (std::size_t slot = 0; slot < held.size(); ++slot) {
      const auto expert = static_cast<std::size_t>(held[slot]);
      rank_shares.push_back(tokens_per_step[expert] *
                            WeightOf(map, rank, slot) / weight_sum[expert]);
    }
  }
  return shares;
}

RankShares BalanceShares(const ExpertMap& map,
                         std::span<const double> tokens_per_step) {
  const auto replicas = FindReplicas(map, tokens_per_step.size());
  ExpertMap evenly_split = map;
  evenly_split.weights_by_rank.clear();
  RankShares shares = SharesOf(evenly_split, tokens_per_step);
  std::vector<double> load = RankLoads(evenly_split, tokens_per_step);
  for (int sweep = 0; sweep < kSweeps; ++sweep) {
    for (std::size_t expert = 0; expert < replicas.size(); ++expert) {
      if (replicas[expert].size() > 1) {
        WaterFill(replicas[expert], tokens_per_step[expert], shares, load);
      }
    }
  }
  return shares;
}

ExpertMap BalanceReplicas(ExpertMap map,
                          std::span<const double> tokens_per_step) {
  const RankShares shares = BalanceShares(map, tokens_per_step);
  map.weights_by_rank.clear();
  for (std::size_t rank = 0; rank < shares.size(); ++rank) {
    std::vector<int>& weights = map.weights_by_rank.emplace_back();
    for (std::size_t slot = 0; slot < shares[rank].size(); ++slot) {
      const auto expert =
          static_cast<std::size_t>(map.experts_by_rank[rank][slot]);
      // The weight is at least 1, so that each holder still serves an expert
      // that has no tokens in the estimate.
      const double fraction = tokens_per_step[expert] > 0
                                  ? shares[rank][slot] / tokens_per_step[expert]
                                  : 1;
      weights.push_back(
          std::max(1, static_cast<int>(std::lround(fraction * kWeightUnit))));
    }
  }
  return map;
}

}  // namespace toucanhollow
