#include "expert_map/full_placement.h"

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

namespace toucanhollow {
namespace {

// The number of replicas of each expert. Each slot beyond one per expert goes
// to the expert with the highest load per replica.
std::vector<int> ChooseReplicaCounts(std::span<const double> tokens,
                                     int ranks,
                                     int slots) {
  std::vector<int> replicas(tokens.size(), 1);
  for (int remaining = slots - static_cast<int>(tokens.size()); remaining > 0;
       --remaining) {
    int best = -1;
    for (int expert = 0; expert < static_cast<int>(tokens.size()); ++expert) {
      if (replicas[expert] < ranks &&
          (best < 0 ||
           tokens[expert] / replicas[expert] > tokens[best] / replicas[best])) {
        best = expert;
      }
    }
    ++replicas[best];
  }
  return replicas;
}

std::size_t CountShared(const std::vector<int>& first,
                        const std::vector<int>& second) {
  return static_cast<std::size_t>(std::ranges::count_if(first, [&](int expert) {
    return std::ranges::find(second, expert) != second.end();
  }));
}

}  // namespace

ExpertMap PlaceFromScratch(std::span<const double> tokens_per_step,
                           int ranks,
                           int slots_per_rank) {
  const std::vector<int> replicas =
      ChooseReplicaCounts(tokens_per_step, ranks, ranks * slots_per_rank);
  std::vector<int> order;
  for (int expert = 0; expert < static_cast<int>(replicas.size()); ++expert) {
    order.insert(order.end(), replicas[expert], expert);
  }
  const auto share = [&](int expert) {
    return tokens_per_step[expert] / replicas[expert];
  };
  std::ranges::stable_sort(order, std::ranges::greater{}, share);
  ExpertMap map;
  map.experts_by_rank.resize(ranks);
  std::vector<double> load(ranks, 0);
  for (const int expert : order) {
    int best = -1;
    for (int rank = 0; rank < ranks; ++rank) {
      const auto& held = map.experts_by_rank[rank];
      if (static_cast<int>(held.size()) < slots_per_rank &&
          std::ranges::find(held, expert) == held.end() &&
          (best < 0 || load[rank] < load[best])) {
        best = rank;
      }
    }
    // If every rank with a free slot already holds the expert, the replica is
    // left out and its slot stays empty. This is rare.
    if (best >= 0) {
      map.experts_by_rank[best].push_back(expert);
      load[best] += share(expert);
    }
  }
  for (auto& held : map.experts_by_rank) {
    std::ranges::sort(held);
  }
  return map;
}

ExpertMap MatchRanks(const ExpertMap& current, ExpertMap target) {
  const std::size_t ranks = current.experts_by_rank.size();
  std::vector<bool> used(ranks, false);
  ExpertMap matched;
  matched.experts_by_rank.resize(ranks);
  for (std::size_t rank = 0; rank < ranks; ++rank) {
    std::size_t best = ranks;
    std::size_t best_shared = 0;
    for (std::size_t other = 0; other < ranks; ++other) {
      const std::size_t shared = CountShared(target.experts_by_rank[other],
                                             current.experts_by_rank[rank]);
      if (!used[other] && (best == ranks || shared > best_shared)) {
        best = other;
        best_shared = shared;
      }
    }
    used[best] = true;
    matched.experts_by_rank[rank] = std::move(target.experts_by_rank[best]);
    if (!target.weights_by_rank.empty()) {
      matched.weights_by_rank.push_back(
          std::move(target.weights_by_rank[best]));
    }
  }
  return matched;
}

}  // namespace toucanhollow
