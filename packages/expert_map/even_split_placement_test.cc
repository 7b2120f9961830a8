#include "expert_map/even_split_placement.h"

#include <algorithm>
#include <cmath>
#include <random>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

constexpr int kRanks = 16;
constexpr int kExperts = 64;

LayerSetMaps StartMaps(int sets) {
  return LayerSetMaps(sets, InitialMap(kRanks, kExperts, kExperts / kRanks));
}

// The load of a few experts is much higher than that of the others.
std::vector<double> SkewedLoad(std::mt19937& random) {
  std::vector<double> load(kExperts);
  for (int expert = 0; expert < kExperts; ++expert) {
    load[expert] = 1 / std::pow(expert + 1, 1.1);
  }
  std::ranges::shuffle(load, random);
  return load;
}

std::vector<std::vector<double>> SkewedLoads(int sets, std::mt19937& random) {
  std::vector<std::vector<double>> loads(sets);
  for (std::vector<double>& load : loads) {
    load = SkewedLoad(random);
  }
  return loads;
}

int CountAddedExperts(const LayerSetMaps& from,
                      const LayerSetMaps& to,
                      int rank) {
  int added = 0;
  for (std::size_t set = 0; set < from.size(); ++set) {
    for (const int expert : to[set].experts_by_rank[rank]) {
      added += std::ranges::count(from[set].experts_by_rank[rank], expert) == 0
                   ? 1
                   : 0;
    }
  }
  return added;
}

// Guards against maps that exceed the limits, which engines reject, and against
// maps that lose an expert.
TEST_CASE("plans respect every limit and keep every expert") {
  const EvenSplitPlacementLimits limits{5, 2, 3, 1.1};
  for (unsigned int seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    LayerSetMaps maps = StartMaps(4);
    for (int change = 0; change < 6; ++change) {
      const std::vector<std::vector<double>> load = SkewedLoads(4, random);
      const LayerSetMaps next = PlanEvenSplitMaps(maps, load, limits);
      for (std::size_t set = 0; set < next.size(); ++set) {
        INFO("seed " << seed << " change " << change << " set " << set);
        REQUIRE(IsCompleteMap(next[set], kExperts));
        CHECK(LoadImbalanceRatio(next[set], load[set]) <=
              LoadImbalanceRatio(maps[set], load[set]) + 1e-9);
        for (int rank = 0; rank < kRanks; ++rank) {
          CHECK(next[set].experts_by_rank[rank].size() <= 5);
          CHECK(CountAddedExperts({maps[set]}, {next[set]}, rank) <=
                limits.max_added_per_rank);
        }
      }
      for (int rank = 0; rank < kRanks; ++rank) {
        CHECK(CountAddedExperts(maps, next, rank) <= limits.max_loads_per_rank);
      }
      maps = next;
    }
  }
}

// The demand for experts may shift every few seconds. A few small changes must
// bring the load of the most loaded rank near the mean.
TEST_CASE("four changes of three loads per rank balance a shifted demand") {
  std::mt19937 random(7);
  const std::vector<std::vector<double>> load = SkewedLoads(4, random);
  LayerSetMaps maps = StartMaps(4);
  CHECK(LoadImbalanceRatio(maps[0], load[0]) > 2);
  for (int change = 0; change < 4; ++change) {
    maps = PlanEvenSplitMaps(maps, load, {5, 2, 3, 1.1});
  }
  for (std::size_t set = 0; set < maps.size(); ++set) {
    CHECK(LoadImbalanceRatio(maps[set], load[set]) < 1.3);
  }
}

TEST_CASE("an evenly distributed load causes no change") {
  const std::vector<std::vector<double>> load(
      2, std::vector<double>(kExperts, 1.0));
  CHECK(PlanEvenSplitMaps(StartMaps(2), load, {5, 2, 3, 1.1}) == StartMaps(2));
}

// Guards against a group in which every pass waits for one slow rank.
TEST_CASE("a slow rank gets little load") {
  std::mt19937 random(5);
  LayerSetMaps maps(2, InitialMap(16, 64, 5));
  const std::vector<std::vector<double>> load = SkewedLoads(2, random);
  RankSlowdowns slowdowns(16, 1);
  slowdowns[3] = 8;
  const double ratio_ignoring_slowdowns = LoadImbalanceRatio(
      PlanEvenSplitMaps(maps, load, {5, 2, 4, 1.18})[0], load[0], slowdowns);
  for (int change = 0; change < 4; ++change) {
    maps = PlanEvenSplitMaps(maps, load, {5, 2, 4, 1.18}, slowdowns);
  }
  for (std::size_t set = 0; set < maps.size(); ++set) {
    CHECK(IsCompleteMap(maps[set], kExperts));
    CHECK(LoadImbalanceRatio(maps[set], load[set], slowdowns) < 2);
  }
  CHECK(ratio_ignoring_slowdowns > 4);
}

// Guards against a large group that needs several changes, each of which takes
// a round of calls to all ranks.
TEST_CASE("one change balances a shifted demand on 72 ranks") {
  std::mt19937 random(3);
  LayerSetMaps maps(12, InitialMap(72, 144, 3));
  std::vector<std::vector<double>> load(12, std::vector<double>(144));
  for (std::vector<double>& set : load) {
    for (std::size_t expert = 0; expert < set.size(); ++expert) {
      set[expert] = 1 / std::pow(static_cast<double>(expert) + 1, 0.54);
    }
    std::ranges::shuffle(set, random);
  }
  const LayerSetMaps next = PlanEvenSplitMaps(maps, load, {3, 2, 14, 1.18});
  for (std::size_t set = 0; set < next.size(); ++set) {
    CHECK(IsCompleteMap(next[set], 144));
    CHECK(LoadImbalanceRatio(next[set], load[set]) < 1.25);
  }
}

}  // namespace
}  // namespace toucanhollow
