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

std::vector<double> TokensWithHotExpert() {
  std::vector<double> tokens(8, 100);
  tokens[5] = 400;
  return tokens;
}

PlacementCosts MakeCosts() {
  PlacementCosts costs;
  costs.ms_per_token = 0.01;
  costs.step_ms = 30;
  costs.pause_ms = 50;
  costs.ms_per_expert_loaded = 20;
  return costs;
}

PlacementPlan Plan(const PlacementCosts& costs,
                   std::optional<TimePoint> last = std::nullopt,
                   TimePoint now = {}) {
  return PlanPlacement(SmallMap(), TokensWithHotExpert(), costs, last, now);
}

// Guards against moves that cost more than they gain, and against beneficial
// moves that are not made.
TEST_CASE("a move needs twice its cost in benefit and the minimum interval") {
  PlacementCosts costs = MakeCosts();
  const PlacementPlan plan = Plan(costs);
  REQUIRE(plan.verdict == Verdict::kMove);
  CHECK(plan.benefit_ms > 2 * plan.cost_ms);
  const double margin_ms = plan.benefit_ms / 2 - plan.cost_ms;
  SECTION("just below and just above twice the cost") {
    costs.max_experts_to_load = plan.experts_to_load;
    costs.pause_ms += margin_ms * 1.0001;
    CHECK(Plan(costs).verdict == Verdict::kInsufficientBenefit);
    costs.pause_ms -= margin_ms * 0.0002;
    CHECK(Plan(costs).verdict == Verdict::kMove);
  }
  SECTION("each cost alone can prevent a move") {
    const double high_cost_ms = plan.benefit_ms;
    costs = {costs.ms_per_token, 30, 0, 0, 0};
    REQUIRE(Plan(costs).verdict == Verdict::kMove);
    costs.pause_ms = high_cost_ms;
    CHECK(Plan(costs).verdict == Verdict::kInsufficientBenefit);
    costs.pause_ms = 0;
    // Only another split of the tokens, which loads no expert, remains.
    costs.ms_per_expert_loaded = high_cost_ms;
    CHECK(Plan(costs).experts_to_load == 0);
    costs.ms_per_expert_loaded = 0;
    costs.cache_loss_ms = high_cost_ms;
    CHECK(Plan(costs).verdict == Verdict::kInsufficientBenefit);
  }
  SECTION("no move is made within the minimum interval") {
    const TimePoint last(Seconds(100));
    CHECK(Plan(costs, last, last + Seconds(59)).verdict == Verdict::kTooSoon);
    CHECK(Plan(costs, last, last + Seconds(60)).verdict == Verdict::kMove);
  }
}

// Guards against maps that lose an expert or hold one twice on a rank, and
// against plans that load more experts than they report.
TEST_CASE("plans are complete, reduce the highest load and count their loads") {
  std::mt19937_64 random(5);
  std::lognormal_distribution<double> draw(0, 0.8);
  for (int round = 0; round < 50; ++round) {
    std::vector<double> tokens(64);
    std::ranges::generate(tokens, [&] { return 100 * draw(random); });
    const ExpertMap before = InitialMap(16, 64, 5);
    const PlacementPlan plan =
        PlanPlacement(before, tokens, MakeCosts(), std::nullopt, {});
    REQUIRE(IsCompleteMap(plan.map, 64));
    REQUIRE(CountExpertsToLoad(before, plan.map) == plan.experts_to_load);
    REQUIRE(plan.experts_to_load <= MakeCosts().max_experts_to_load);
    for (const auto& held : plan.map.experts_by_rank) {
      REQUIRE(held.size() == 5);
    }
    REQUIRE(std::ranges::max(RankLoads(plan.map, tokens)) <
            std::ranges::max(RankLoads(before, tokens)));
    const ExpertMap rebuilt = PlaceFromScratch(tokens, 16, 5);
    REQUIRE(IsCompleteMap(rebuilt, 64));
    const ExpertMap matched = MatchRanks(before, rebuilt);
    REQUIRE(IsCompleteMap(matched, 64));
    REQUIRE(CountExpertsToLoad(before, matched) <=
            CountExpertsToLoad(before, rebuilt));
  }
}

// Guards against a hot expert that stays on one rank, and against a plan that
// rebuilds the whole map where loading a few experts suffices.
TEST_CASE("a hot expert is replicated by loading few experts") {
  const PlacementPlan plan = Plan(MakeCosts());
  CHECK(ReplicaCounts(plan.map, 8)[5] >= 2);
  CHECK(plan.experts_to_load <= 4);
}

// Guards against thrashing: popularity that is stable after a move, or that
// alternates faster than the estimate follows, must cause no further moves.
TEST_CASE("stable and alternating popularity cause no thrashing") {
  const ExpertMap moved = Plan(MakeCosts()).map;
  CHECK(
      PlanPlacement(moved, TokensWithHotExpert(), MakeCosts(), std::nullopt, {})
          .verdict == Verdict::kInsufficientBenefit);
  Popularity popularity;
  ExpertMap map = SmallMap();
  std::optional<TimePoint> last;
  int changes_after_settling = 0;
  for (int second = 0; second < 3600; second += 5) {
    const TimePoint now{Seconds(second)};
    std::vector<double> tokens(8, 100);
    tokens[(second / 5) % 2 == 0 ? 5 : 6] = 300;
    popularity = AddPopularitySample(std::move(popularity), tokens, now);
    const PlacementPlan plan =
        PlanPlacement(map, popularity.tokens_per_step, MakeCosts(), last, now);
    if (plan.verdict == Verdict::kMove) {
      map = plan.map;
      last = now;
      changes_after_settling += second >= 600 ? 1 : 0;
    }
  }
  CHECK(changes_after_settling == 0);
}

// Guards against a split that leaves a rank overloaded although other replicas
// could take its tokens, and against weights that change the sum of the tokens.
TEST_CASE("replica weights balance the loads of the ranks") {
  // Only rank 0 holds the heavily loaded expert 0; both ranks hold expert 1.
  const ExpertMap map{{{0, 1}, {1, 2}}};
  const std::vector<double> tokens = {300, 300, 100};
  const ExpertMap weighted = BalanceReplicas(map, tokens);
  REQUIRE(IsCompleteMap(weighted, 3));
  const auto loads = RankLoads(weighted, tokens);
  CHECK(loads[0] == Approx(350).margin(1));
  CHECK(loads[1] == Approx(350).margin(1));
  CHECK(CountExpertsToLoad(map, weighted) == 0);
  CHECK_FALSE(IsCompleteMap({{{0, 1}, {1, 2}}, {{1, 0}, {1, 1}}}, 3));
}

// Guards against an estimate that depends on the sampling interval.
TEST_CASE("the estimate covers half of a change in one half-life") {
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
