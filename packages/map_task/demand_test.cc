#include "map_task/demand.h"

#include <catch2/catch.hpp>

#include "map_task/choice_delta.h"

namespace toucanhollow {
namespace {

ChoiceTable Table(double first, double second) {
  return {{first, second}};
}

TimePoint At(std::int64_t ms) {
  return TimePoint(Milliseconds(ms));
}

TEST_CASE("demand follows the growth of the counters") {
  Demand demand;
  CHECK_FALSE(ComputeChoiceDelta({}, Table(100, 100)));
  CHECK(TotalDemand(demand) == 0);
  const auto delta = ComputeChoiceDelta(Table(100, 100), Table(110, 130));
  REQUIRE(delta);
  AddChoices(demand, {*delta}, At(100));
  CHECK(demand.chosen[0] == std::vector<double>{10, 30});
}

// Guards against counters of a restarted rank that are taken for growth.
TEST_CASE("counters that fall are a new start") {
  CHECK_FALSE(ComputeChoiceDelta(Table(100, 100), Table(5, 200)));
  CHECK(ComputeChoiceDelta(Table(5, 200), Table(7, 200)) == Table(2, 0));
}

// Guards against a sum over ranks that keeps only the last one.
TEST_CASE("the choices of all ranks are added") {
  Demand demand;
  AddChoices(demand, {Table(1, 2), Table(3, 4)}, At(0));
  CHECK(demand.chosen[0] == std::vector<double>{4, 6});
}

// Guards against a group that stood for seconds and then has no estimate.
TEST_CASE("an idle group keeps its estimate") {
  Demand demand;
  AddChoices(demand, {Table(8, 2)}, At(100));
  AddChoices(demand, {Table(0, 0)}, At(9000));
  CHECK(demand.chosen[0] == std::vector<double>{8, 2});
  AddChoices(demand, {Table(0, 4)}, At(9100));
  CHECK(demand.chosen[0][1] > demand.chosen[0][0]);
}

// Guards against an engine whose lists name experts that do not exist, or whose
// sets differ from the other ranks': a plan would read beyond its tables.
TEST_CASE("a map that does not fit the counters is not planned from") {
  const ChoiceTable chosen = {{1, 2, 3, 4}, {5, 6, 7, 8}};
  const ExpertMap sound{{{0, 1}, {2, 3}}};
  CHECK(IsValidMapFor({sound, sound}, chosen));
  CHECK_FALSE(IsValidMapFor({sound}, chosen));
  CHECK_FALSE(IsValidMapFor({}, chosen));
  CHECK_FALSE(IsValidMapFor({sound, ExpertMap{{{0, 1}, {2, 4}}}}, chosen));
  CHECK_FALSE(IsValidMapFor({sound, ExpertMap{{{0, -1}, {2, 3}}}}, chosen));
  CHECK_FALSE(IsValidMapFor({sound, ExpertMap{{{0, 1}, {2, 2}}}}, chosen));
  CHECK_FALSE(IsValidMapFor({sound, ExpertMap{{{0, 1, 2, 3}}}}, chosen));
}

}  // namespace
}  // namespace toucanhollow
