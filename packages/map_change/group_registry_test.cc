#include "map_change/group_registry.h"

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

const ServiceName model_service{"model"};

TimePoint At(std::int64_t ms) {
  return TimePoint(Milliseconds(ms));
}

RankReport MakeReport(const std::string& server,
                      const std::string& group,
                      int rank,
                      std::int64_t epoch = 1) {
  RankReport report;
  report.server = server;
  report.group = group;
  report.rank = rank;
  report.size = 2;
  report.epoch = epoch;
  report.open = true;
  return report;
}

// Guards against refusing requests because of a halted group that they do not
// use.
TEST_CASE("only servers of a halted group are reported as halted") {
  GroupRegistry registry;
  ApplyRankReport(registry, model_service, MakeReport("a", "g", 0), At(0));
  ApplyRankReport(registry, model_service, MakeReport("b", "g", 1), At(0));
  ApplyRankReport(registry, model_service, MakeReport("c", "h", 0), At(0));
  RankReport halted = MakeReport("b", "g", 1);
  halted.open = false;
  CHECK(ApplyRankReport(registry, model_service, halted, At(10)) ==
        RankReportStatus::kAccepted);
  CHECK(IsGroupHalted(registry, "a"));
  CHECK(IsGroupHalted(registry, "b"));
  CHECK_FALSE(IsGroupHalted(registry, "c"));
  CHECK_FALSE(IsGroupHalted(registry, "unknown"));
  // A report of one rank applies to its whole group.
  ApplyRankReport(registry, model_service, MakeReport("a", "g", 0, 2), At(900));
  CHECK_FALSE(IsGroupHalted(registry, "b"));
}

TEST_CASE("groups with the same name in two services are distinct") {
  GroupRegistry registry;
  ApplyRankReport(registry, model_service, MakeReport("a", "g", 0), At(0));
  RankReport halted = MakeReport("x", "g", 0);
  halted.open = false;
  ApplyRankReport(registry, ServiceName{"other"}, halted, At(0));
  CHECK(registry.groups.size() == 2);
  CHECK_FALSE(IsGroupHalted(registry, "a"));
  CHECK(IsGroupHalted(registry, "x"));
}

TEST_CASE("a server that moves belongs to its new group") {
  GroupRegistry registry;
  ApplyRankReport(registry, model_service, MakeReport("a", "g", 0), At(0));
  ApplyRankReport(registry, model_service, MakeReport("a", "h", 1), At(10));
  CHECK(registry.rank_by_server.at("a").group.name == "h");
  CHECK(registry.rank_by_server.at("a").rank == 1);
  RemoveUnlistedServers(registry, {"a"});
  CHECK(registry.groups.size() == 1);
  RemoveUnlistedServers(registry, {});
  CHECK(registry == GroupRegistry{});
}

// Guards against a delayed report that marks a healthy group as halted.
TEST_CASE("rejected reports change nothing") {
  GroupRegistry registry;
  ApplyRankReport(registry, model_service, MakeReport("a", "g", 0, 5), At(0));
  const GroupRegistry before = registry;
  RankReport late = MakeReport("b", "g", 1, 4);
  late.open = false;
  CHECK(ApplyRankReport(registry, model_service, late, At(100)) ==
        RankReportStatus::kStaleEpoch);
  CHECK(ApplyRankReport(registry, model_service, MakeReport("b", "", 0),
                        At(100)) == RankReportStatus::kGroupUnnamed);
  CHECK(ApplyRankReport(registry, model_service, MakeReport("b", "g", 2, 5),
                        At(100)) == RankReportStatus::kRankOutOfRange);
  CHECK(ApplyRankReport(registry, model_service, MakeReport("b", "g", -1, 5),
                        At(100)) == RankReportStatus::kRankOutOfRange);
  CHECK(registry == before);
  // The platform itself may restart and count epochs from a low number again.
  CHECK(ApplyRankReport(registry, model_service, late, At(6000)) ==
        RankReportStatus::kAccepted);
}

TEST_CASE("a group that begins no pass is stalled") {
  GroupRegistry registry;
  RankReport report = MakeReport("a", "g", 0);
  report.step = 10;
  ApplyRankReport(registry, model_service, report, At(0));
  ApplyRankReport(registry, model_service, report, At(500));
  CHECK(FindGroup(registry, "a")->step_advanced_at == At(0));
  CHECK_FALSE(IsGroupStalled(registry, "a", At(900)));
  ApplyRankReport(registry, model_service, report, At(1200));
  CHECK(IsGroupStalled(registry, "a", At(1250)));
  // A group that sends no reports is not known to be stalled.
  CHECK_FALSE(IsGroupStalled(registry, "a", At(2500)));
  report.step = 11;
  ApplyRankReport(registry, model_service, report, At(2600));
  CHECK(FindGroup(registry, "a")->step_advanced_at == At(2600));
  CHECK_FALSE(IsGroupStalled(registry, "a", At(2700)));
  report.step = 3;
  report.epoch = 2;
  ApplyRankReport(registry, model_service, report, At(2700));
  CHECK(FindGroup(registry, "a")->step == 3);
}

}  // namespace
}  // namespace toucanhollow
