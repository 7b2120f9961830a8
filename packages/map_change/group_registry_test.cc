#include "map_change/group_registry.h"

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

const ServiceName model_service{"model"};

TimePoint At(std::int64_t ms) {
  return TimePoint(Milliseconds(ms));
}

RankReport ReportOf(const std::string& server,
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

// Guards against callers that are refused for a group that they do not need.
TEST_CASE("only the ranks of a group that stands stand") {
  GroupBoard board;
  TakeRankReport(board, model_service, ReportOf("a", "g", 0), At(0));
  TakeRankReport(board, model_service, ReportOf("b", "g", 1), At(0));
  TakeRankReport(board, model_service, ReportOf("c", "h", 0), At(0));
  RankReport broken = ReportOf("b", "g", 1);
  broken.open = false;
  CHECK(TakeRankReport(board, model_service, broken, At(10)) ==
        ReportUse::kTaken);
  CHECK(Stands(board, "a"));
  CHECK(Stands(board, "b"));
  CHECK_FALSE(Stands(board, "c"));
  CHECK_FALSE(Stands(board, "unknown"));
  // One rank reports for its whole group.
  TakeRankReport(board, model_service, ReportOf("a", "g", 0, 2), At(900));
  CHECK_FALSE(Stands(board, "b"));
}

TEST_CASE("groups of one name in two services are two groups") {
  GroupBoard board;
  TakeRankReport(board, model_service, ReportOf("a", "g", 0), At(0));
  RankReport broken = ReportOf("x", "g", 0);
  broken.open = false;
  TakeRankReport(board, ServiceName{"other"}, broken, At(0));
  CHECK(board.groups.size() == 2);
  CHECK_FALSE(Stands(board, "a"));
  CHECK(Stands(board, "x"));
}

TEST_CASE("a rank that moves belongs to its new group") {
  GroupBoard board;
  TakeRankReport(board, model_service, ReportOf("a", "g", 0), At(0));
  TakeRankReport(board, model_service, ReportOf("a", "h", 1), At(10));
  CHECK(board.places.at("a").group.name == "h");
  CHECK(board.places.at("a").rank == 1);
  KeepListed(board, {"a"});
  CHECK(board.groups.size() == 1);
  KeepListed(board, {});
  CHECK(board == GroupBoard{});
}

// Guards against a late report that makes a sound group stand.
TEST_CASE("reports that cannot be used change nothing") {
  GroupBoard board;
  TakeRankReport(board, model_service, ReportOf("a", "g", 0, 5), At(0));
  const GroupBoard before = board;
  RankReport late = ReportOf("b", "g", 1, 4);
  late.open = false;
  CHECK(TakeRankReport(board, model_service, late, At(100)) ==
        ReportUse::kOldEpoch);
  CHECK(TakeRankReport(board, model_service, ReportOf("b", "", 0), At(100)) ==
        ReportUse::kUnnamed);
  CHECK(TakeRankReport(board, model_service, ReportOf("b", "g", 2, 5),
                       At(100)) == ReportUse::kBadRank);
  CHECK(TakeRankReport(board, model_service, ReportOf("b", "g", -1, 5),
                       At(100)) == ReportUse::kBadRank);
  CHECK(board == before);
  // The platform itself may begin anew with low epochs.
  CHECK(TakeRankReport(board, model_service, late, At(6000)) ==
        ReportUse::kTaken);
}

TEST_CASE("passes that stop show in the time of the last step") {
  GroupBoard board;
  RankReport report = ReportOf("a", "g", 0);
  report.step = 10;
  TakeRankReport(board, model_service, report, At(0));
  TakeRankReport(board, model_service, report, At(500));
  CHECK(GroupOf(board, "a")->step_at == At(0));
  CHECK_FALSE(IsStill(board, "a", At(900)));
  TakeRankReport(board, model_service, report, At(1200));
  CHECK(IsStill(board, "a", At(1250)));
  // Nothing is known of a group that is not heard.
  CHECK_FALSE(IsStill(board, "a", At(2500)));
  report.step = 11;
  TakeRankReport(board, model_service, report, At(2600));
  CHECK(GroupOf(board, "a")->step_at == At(2600));
  CHECK_FALSE(IsStill(board, "a", At(2700)));
  report.step = 3;
  report.epoch = 2;
  TakeRankReport(board, model_service, report, At(2700));
  CHECK(GroupOf(board, "a")->step == 3);
}

}  // namespace
}  // namespace toucanhollow
