#include "map_task/demand.h"

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

RankCounts Counts(double first, double second) {
  return {1, 1, {{first, second}}};
}

TimePoint At(std::int64_t ms) {
  return TimePoint(Milliseconds(ms));
}

TEST_CASE("demand follows the growth of the counters") {
  Demand demand;
  AddCounts(demand, {{"a", Counts(100, 100)}}, At(0));
  CHECK(DemandWeight(demand) == 0);
  AddCounts(demand, {{"a", Counts(110, 130)}}, At(100));
  CHECK(demand.chosen[0] == std::vector<double>{10, 30});
}

// Guards against counters of a restarted rank that are taken for growth.
TEST_CASE("counters that fall are a new start") {
  Demand demand;
  AddCounts(demand, {{"a", Counts(100, 100)}}, At(0));
  AddCounts(demand, {{"a", Counts(5, 200)}}, At(100));
  CHECK(DemandWeight(demand) == 0);
  AddCounts(demand, {{"a", Counts(7, 200)}}, At(200));
  CHECK(demand.chosen[0] == std::vector<double>{2, 0});
}

// Guards against a group that stood for seconds and then has no estimate.
TEST_CASE("an idle group keeps its estimate") {
  Demand demand;
  AddCounts(demand, {{"a", Counts(0, 0)}}, At(0));
  AddCounts(demand, {{"a", Counts(8, 2)}}, At(100));
  AddCounts(demand, {{"a", Counts(8, 2)}}, At(9000));
  CHECK(demand.chosen[0] == std::vector<double>{8, 2});
  AddCounts(demand, {{"a", Counts(8, 6)}}, At(9100));
  CHECK(demand.chosen[0][1] > demand.chosen[0][0]);
}

}  // namespace
}  // namespace toucanhollow
