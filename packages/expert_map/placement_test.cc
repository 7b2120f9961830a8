#include <algorithm>
#include <numeric>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "expert_map/full_placement.h"
#include "expert_map/placement.h"
#include "expert_map/popularity.h"
#include "expert_map/replica_weights.h"

namespace toucanhollow {
namespace {

using Verdict = PlacementPlan::Verdict;

// 4 ranks of 3 slots, 8 experts. Experts 0 to 3 have two replicas.
ExpertMap SmallMap() {
  return InitialMap(4, 8, 3);
}

std::vector<double> HotExpert() {
  std::vector<double> tokens(8, 100);
  tokens[5] = 400;
  return tokens;
}

PlacementCosts Costs() {
  PlacementCosts costs;
  costs.ms_per_token = 0.01;
  costs.step_ms = 30;
  costs.pause_ms = 50;
  costs.ms_per_load = 20;
  return costs;
}

PlacementPlan Plan(const PlacementCosts& costs,
                   std::optional<TimePoint> last = std::nullopt,
                   TimePoint now = {}) {
  return PlanPlacement(SmallMap(), HotExpert(), costs, last, now);
}

// Guards against moves that cost more than they bring, and against worthwhile
// moves that are not made.
TEST_CASE("a move needs twice its cost and the minimum interval") {
  PlacementCosts costs = Costs();
  const PlacementPlan plan = Plan(costs);
  REQUIRE(plan.verdict == Verdict::kMove);
  CHECK(plan.benefit_ms > 2 * plan.cost_ms);
  const double spare = plan.benefit_ms / 2 - plan.cost_ms;
  SECTION("just below and just above twice the cost") {
    costs.max_loads = plan.loads;
    costs.pause_ms += spare * 1.0001;
    CHECK(Plan(costs).verdict == Verdict::kNotWorthIt);
    costs.pause_ms -= spare * 0.0002;
    CHECK(Plan(costs).verdict == Verdict::kMove);
  }
  SECTION("each cost alone can prevent a move") {
    const double much = plan.benefit_ms;
    costs = {costs.ms_per_token, 30, 0, 0, 0};
    REQUIRE(Plan(costs).verdict == Verdict::kMove);
    costs.pause_ms = much;
    CHECK(Plan(costs).verdict == Verdict::kNotWorthIt);
    costs.pause_ms = 0;
    // Only another split of the tokens, which loads nothing, is left.
    costs.ms_per_load = much;
    CHECK(Plan(costs).loads == 0);
    costs.ms_per_load = 0;
    costs.cache_ms = much;
    CHECK(Plan(costs).verdict == Verdict::kNotWorthIt);
  }
  SECTION("inside the minimum interval it waits") {
    const TimePoint last(Seconds(100));
    CHECK(Plan(costs, last, last + Seconds(59)).verdict == Verdict::kTooSoon);
    CHECK(Plan(costs, last, last + Seconds(60)).verdict == Verdict::kMove);
  }
}

// Guards against maps that lose an expert or hold one twice on a rank, and
// against plans that move more than they say.
TEST_CASE("plans keep maps complete, improve them and count their loads") {
  std::mt19937_64 random(5);
  std::lognormal_distribution<double> draw(0, 0.8);
  for (int round = 0; round < 50; ++round) {
    std::vector<double> tokens(64);
    std::ranges::generate(tokens, [&] { return 100 * draw(random); });
    const ExpertMap before = InitialMap(16, 64, 5);
    const PlacementPlan plan =
        PlanPlacement(before, tokens, Costs(), std::nullopt, {});
    REQUIRE(IsCompleteMap(plan.map, 64));
    REQUIRE(CountLoads(before, plan.map) == plan.loads);
    REQUIRE(plan.loads <= Costs().max_loads);
    for (const auto& held : plan.map.experts_by_rank) {
      REQUIRE(held.size() == 5);
    }
    REQUIRE(std::ranges::max(RankLoads(plan.map, tokens)) <
            std::ranges::max(RankLoads(before, tokens)));
    const ExpertMap anew = PlaceAnew(tokens, 16, 5);
    REQUIRE(IsCompleteMap(anew, 64));
    const ExpertMap matched = MatchRanks(before, anew);
    REQUIRE(IsCompleteMap(matched, 64));
    REQUIRE(CountLoads(before, matched) <= CountLoads(before, anew));
  }
}

// Guards against a hot expert that stays on one rank, and against a new optimum
// where a few loads suffice.
TEST_CASE("a hot expert gets a replica by few loads") {
  const PlacementPlan plan = Plan(Costs());
  CHECK(ReplicaCounts(plan.map, 8)[5] >= 2);
  CHECK(plan.loads <= 4);
}

// Guards against thrashing: popularity that is stable after a move, or flips
// faster than the estimate follows, causes no further moves.
TEST_CASE("stable and flipping popularity cause no thrashing") {
  const ExpertMap moved = Plan(Costs()).map;
  CHECK(PlanPlacement(moved, HotExpert(), Costs(), std::nullopt, {}).verdict ==
        Verdict::kNotWorthIt);
  Popularity popularity;
  ExpertMap map = SmallMap();
  std::optional<TimePoint> last;
  int changes_once_settled = 0;
  for (int second = 0; second < 3600; second += 5) {
    const TimePoint now{Seconds(second)};
    std::vector<double> tokens(8, 100);
    tokens[(second / 5) % 2 == 0 ? 5 : 6] = 300;
    popularity = AddPopularitySample(std::move(popularity), tokens, now);
    const PlacementPlan plan =
        PlanPlacement(map, popularity.tokens_per_step, Costs(), last, now);
    if (plan.verdict == Verdict::kMove) {
      map = plan.map;
      last = now;
      changes_once_settled += second >= 600 ? 1 : 0;
    }
  }
  CHECK(changes_once_settled == 0);
}

// Guards against a split that leaves a rank loaded although its replicas could
// relieve it, and against weights that change the sum of the tokens.
TEST_CASE("replicas are weighted to even the ranks") {
  // Rank 0 holds the heavy expert 0 alone and shares expert 1 with rank 1.
  const ExpertMap map{{{0, 1}, {1, 2}}};
  const std::vector<double> tokens = {300, 300, 100};
  const ExpertMap weighted = BalanceReplicas(map, tokens);
  REQUIRE(IsCompleteMap(weighted, 3));
  const auto loads = RankLoads(weighted, tokens);
  CHECK(loads[0] == Approx(350).margin(1));
  CHECK(loads[1] == Approx(350).margin(1));
  CHECK(CountLoads(map, weighted) == 0);
  CHECK_FALSE(IsCompleteMap({{{0, 1}, {1, 2}}, {{1, 0}, {1, 1}}}, 3));
}

// Guards against an estimate that depends on how often it is sampled.
TEST_CASE("popularity halves its distance in a half-life") {
  const std::vector<double> zero = {0};
  const std::vector<double> one = {1};
  Popularity popularity = AddPopularitySample({}, zero, {});
  const auto half_life = kPopularityHalfLife / Seconds(1);
  for (int i = 1; i <= half_life; ++i) {
    popularity =
        AddPopularitySample(std::move(popularity), one, TimePoint(Seconds(i)));
  }
  CHECK(popularity.tokens_per_step[0] == Approx(0.5));
}

}  // namespace
}  // namespace toucanhollow
