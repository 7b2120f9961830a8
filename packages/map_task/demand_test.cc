#include "map_task/demand.h"

#include <catch2/catch.hpp>

#include "map_task/choice_delta.h"

namespace toucanhollow {
namespace {

ChoiceTable MakeTable(double first, double second) {
  return {{first, second}};
}

TimePoint At(std::int64_t ms) {
  return TimePoint(Milliseconds(ms));
}

TEST_CASE("demand is the increase of the counters") {
  Demand demand;
  CHECK_FALSE(ComputeChoiceDelta({}, MakeTable(100, 100)));
  CHECK(TotalDemand(demand) == 0);
  const auto delta =
      ComputeChoiceDelta(MakeTable(100, 100), MakeTable(110, 130));
  REQUIRE(delta);
  AddChoices(demand, {*delta}, At(100));
  CHECK(demand.chosen[0] == std::vector<double>{10, 30});
}

// Guards against counting the counters of a restarted rank as an increase.
TEST_CASE("counters that fall yield no increase") {
  CHECK_FALSE(ComputeChoiceDelta(MakeTable(100, 100), MakeTable(5, 200)));
  CHECK(ComputeChoiceDelta(MakeTable(5, 200), MakeTable(7, 200)) ==
        MakeTable(2, 0));
}

// Guards against a sum over the ranks that includes only the last one.
TEST_CASE("the choices of all ranks are added") {
  Demand demand;
  AddChoices(demand, {MakeTable(1, 2), MakeTable(3, 4)}, At(0));
  CHECK(demand.chosen[0] == std::vector<double>{4, 6});
}

// Guards against losing the estimate of a group that stalled for seconds.
TEST_CASE("an idle group keeps its estimate") {
  Demand demand;
  AddChoices(demand, {MakeTable(8, 2)}, At(100));
  AddChoices(demand, {MakeTable(0, 0)}, At(9000));
  CHECK(demand.chosen[0] == std::vector<double>{8, 2});
  AddChoices(demand, {MakeTable(0, 4)}, At(9100));
  CHECK(demand.chosen[0][1] > demand.chosen[0][0]);
}

// Guards against an engine that reports experts that do not exist, or other
// sets than the other ranks: planning from them would read beyond its tables.
TEST_CASE("a map that does not match the counters is rejected") {
  const ChoiceTable chosen = {{1, 2, 3, 4}, {5, 6, 7, 8}};
  const ExpertMap valid_map{{{0, 1}, {2, 3}}};
  CHECK(IsValidMapFor({valid_map, valid_map}, chosen));
  CHECK_FALSE(IsValidMapFor({valid_map}, chosen));
  CHECK_FALSE(IsValidMapFor({}, chosen));
  CHECK_FALSE(IsValidMapFor({valid_map, ExpertMap{{{0, 1}, {2, 4}}}}, chosen));
  CHECK_FALSE(IsValidMapFor({valid_map, ExpertMap{{{0, -1}, {2, 3}}}}, chosen));
  CHECK_FALSE(IsValidMapFor({valid_map, ExpertMap{{{0, 1}, {2, 2}}}}, chosen));
  CHECK_FALSE(IsValidMapFor({valid_map, ExpertMap{{{0, 1, 2, 3}}}}, chosen));
}

}  // namespace
}  // namespace toucanhollow
