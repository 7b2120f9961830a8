#include "expert_map/even_split_placement.h"

#include <algorithm>
#include <cmath>
#include <random>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

constexpr int kRanks = 16;
constexpr int kExperts = 64;

SetMaps StartMaps(int sets) {
  return SetMaps(sets, InitialMap(kRanks, kExperts, kExperts / kRanks));
}

// A few experts are chosen much more often than the others.
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

int LoadsOf(const SetMaps& from, const SetMaps& to, int rank) {
  int loads = 0;
  for (std::size_t set = 0; set < from.size(); ++set) {
    for (const int expert : to[set].experts_by_rank[rank]) {
      loads += std::ranges::count(from[set].experts_by_rank[rank], expert) == 0
                   ? 1
                   : 0;
    }
  }
  return loads;
}

// Guards against maps that engines refuse, or that lose an expert.
TEST_CASE("plans keep every limit and every expert") {
  const EvenPlacementLimits limits{5, 2, 3, 1.1};
  for (unsigned int seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    SetMaps maps = StartMaps(4);
    for (int change = 0; change < 6; ++change) {
      const std::vector<std::vector<double>> load = SkewedLoads(4, random);
      const SetMaps next = PlanEvenMaps(maps, load, limits);
      for (std::size_t set = 0; set < next.size(); ++set) {
        INFO("seed " << seed << " change " << change << " set " << set);
        REQUIRE(IsCompleteMap(next[set], kExperts));
        CHECK(LoadRatio(next[set], load[set]) <=
              LoadRatio(maps[set], load[set]) + 1e-9);
        for (int rank = 0; rank < kRanks; ++rank) {
          CHECK(next[set].experts_by_rank[rank].size() <= 5);
          CHECK(LoadsOf({maps[set]}, {next[set]}, rank) <= limits.spare);
        }
      }
      for (int rank = 0; rank < kRanks; ++rank) {
        CHECK(LoadsOf(maps, next, rank) <= limits.loads_per_rank);
      }
      maps = next;
    }
  }
}

// The load: demand for experts that shifts every few seconds. A few small
// changes must bring the most loaded rank near the mean.
TEST_CASE("four changes of three loads a rank even out a shifted demand") {
  std::mt19937 random(7);
  const std::vector<std::vector<double>> load = SkewedLoads(4, random);
  SetMaps maps = StartMaps(4);
  CHECK(LoadRatio(maps[0], load[0]) > 2);
  for (int change = 0; change < 4; ++change) {
    maps = PlanEvenMaps(maps, load, {5, 2, 3, 1.1});
  }
  for (std::size_t set = 0; set < maps.size(); ++set) {
    CHECK(LoadRatio(maps[set], load[set]) < 1.3);
  }
}

TEST_CASE("an even load changes nothing") {
  const std::vector<std::vector<double>> load(
      2, std::vector<double>(kExperts, 1.0));
  CHECK(PlanEvenMaps(StartMaps(2), load, {5, 2, 3, 1.1}) == StartMaps(2));
}

// Guards against a group whose passes all wait for one slow rank.
TEST_CASE("a slow rank is left with little") {
  std::mt19937 random(5);
  SetMaps maps(2, InitialMap(16, 64, 5));
  const std::vector<std::vector<double>> load = SkewedLoads(2, random);
  RankPaces paces(16, 1);
  paces[3] = 8;
  const double blind =
      LoadRatio(PlanEvenMaps(maps, load, {5, 2, 4, 1.18})[0], load[0], paces);
  for (int change = 0; change < 4; ++change) {
    maps = PlanEvenMaps(maps, load, {5, 2, 4, 1.18}, paces);
  }
  for (std::size_t set = 0; set < maps.size(); ++set) {
    CHECK(IsCompleteMap(maps[set], kExperts));
    CHECK(LoadRatio(maps[set], load[set], paces) < 2);
  }
  CHECK(blind > 4);
}

// Guards against a large group that needs several changes, each of which costs
// an exchange with all ranks.
TEST_CASE("a plan for 72 ranks evens out a shifted demand in one change") {
  std::mt19937 random(3);
  SetMaps maps(12, InitialMap(72, 144, 3));
  std::vector<std::vector<double>> load(12, std::vector<double>(144));
  for (std::vector<double>& set : load) {
    for (std::size_t expert = 0; expert < set.size(); ++expert) {
      set[expert] = 1 / std::pow(static_cast<double>(expert) + 1, 0.54);
    }
    std::ranges::shuffle(set, random);
  }
  const SetMaps next = PlanEvenMaps(maps, load, {3, 2, 14, 1.18});
  for (std::size_t set = 0; set < next.size(); ++set) {
    CHECK(IsCompleteMap(next[set], 144));
    CHECK(LoadRatio(next[set], load[set]) < 1.25);
  }
}

}  // namespace
}  // namespace toucanhollow
