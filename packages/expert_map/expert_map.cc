#include "expert_map/expert_map.h"

#include <algorithm>
#include <numeric>

#include "expert_map/replica_weights.h"

namespace toucanhollow {
namespace {

// The map has either no weights, or a weight above 0 for each held expert.
bool HasValidWeights(const ExpertMap& map) {
  if (map.weights_by_rank.empty()) {
    return true;
  }
  if (map.weights_by_rank.size() != map.experts_by_rank.size()) {
    return false;
  }
  for (std::size_t rank = 0; rank < map.weights_by_rank.size(); ++rank) {
    const std::vector<int>& weights = map.weights_by_rank[rank];
    if (weights.size() != map.experts_by_rank[rank].size() ||
        std::ranges::any_of(weights, [](int weight) { return weight < 1; })) {
      return false;
    }
  }
  return true;
}

}  // namespace

ExpertMap InitialMap(int ranks, int experts, int slots_per_rank) {
  ExpertMap map;
  map.experts_by_rank.resize(static_cast<std::size_t>(ranks));
  int next = 0;
  for (auto& held : map.experts_by_rank) {
    for (int slot = 0; slot < slots_per_rank; ++slot) {
      held.push_back(next);
      next = (next + 1) % experts;
    }
    std::ranges::sort(held);
  }
  return map;
}

int WeightOf(const ExpertMap& map, std::size_t rank, std::size_t slot) {
  return map.weights_by_rank.empty() ? 1 : map.weights_by_rank[rank][slot];
}

std::vector<int> ReplicaCounts(const ExpertMap& map, int experts) {
  std::vector<int> counts(static_cast<std::size_t>(experts), 0);
  for (const auto& held : map.experts_by_rank) {
    for (const int expert : held) {
      ++counts[static_cast<std::size_t>(expert)];
    }
  }
  return counts;
}

std::vector<double> RankLoads(const ExpertMap& map,
                              std::span<const double> expert_load) {
  std::vector<double> loads;
  for (const std::vector<double>& shares : SharesOf(map, expert_load)) {
    loads.push_back(std::accumulate(shares.begin(), shares.end(), 0.0));
  }
  return loads;
}

std::size_t CountExpertsToLoad(const ExpertMap& from, const ExpertMap& to) {
  std::size_t loads = 0;
  for (std::size_t rank = 0; rank < to.experts_by_rank.size(); ++rank) {
    const auto& held = from.experts_by_rank[rank];
    loads += static_cast<std::size_t>(
        std::ranges::count_if(to.experts_by_rank[rank], [&](int expert) {
          return std::ranges::find(held, expert) == held.end();
        }));
  }
  return loads;
}

bool IsCompleteMap(const ExpertMap& map, int experts) {
  if (!HasValidWeights(map)) {
    return false;
  }
  std::vector<bool> held_somewhere(static_cast<std::size_t>(experts), false);
  for (std::vector<int> held : map.experts_by_rank) {
    std::ranges::sort(held);
    if (std::ranges::adjacent_find(held) != held.end()) {
      return false;
    }
    for (const int expert : held) {
      if (expert < 0 || expert >= experts) {
        return false;
      }
      held_somewhere[static_cast<std::size_t>(expert)] = true;
    }
  }
  return std::ranges::find(held_somewhere, false) == held_somewhere.end();
}

}  // namespace toucanhollow
