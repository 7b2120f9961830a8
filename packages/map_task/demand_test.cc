#include "map_task/demand.h"

#include <catch2/catch.hpp>

#include "map_task/choice_growth.h"

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
  CHECK_FALSE(ChoiceGrowth({}, Table(100, 100)));
  CHECK(DemandWeight(demand) == 0);
  const auto growth = ChoiceGrowth(Table(100, 100), Table(110, 130));
  REQUIRE(growth);
  AddChoices(demand, {*growth}, At(100));
  CHECK(demand.chosen[0] == std::vector<double>{10, 30});
}

// Guards against counters of a restarted rank that are taken for growth.
TEST_CASE("counters that fall are a new start") {
  CHECK_FALSE(ChoiceGrowth(Table(100, 100), Table(5, 200)));
  CHECK(ChoiceGrowth(Table(5, 200), Table(7, 200)) == Table(2, 0));
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

}  // namespace
}  // namespace toucanhollow
