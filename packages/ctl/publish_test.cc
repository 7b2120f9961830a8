#include <fstream>
#include <memory>
#include <sstream>
#include <string>

#include <catch2/catch.hpp>

#include "ctl/command.h"
#include "ctl/fetch.h"
#include "ctl/publish.h"
#include "ctl/record_file.h"
#include "ctl/threaded_server_for_test.h"
#include "settings/parse_address.h"
#include "standins/log/log_stand_in.h"

namespace toucanhollow {
namespace {

constexpr const char* kDataCentre =
    R"({"kind": "data_centre", "subject": "nadi-south", "schema": 2,
        "content": {"state": "in_service", "region": "viti-levu"}})";

ThreadedServer MakeLogServer() {
  return ThreadedServer([](EventLoop& loop) {
    auto log = std::make_shared<LogStandIn>(loop, LogStandInOptions());
    return [log](const HttpRequest& request,
                 const std::shared_ptr<HttpResponseWriter>& writer) {
      log->Handle(request, writer);
    };
  });
}

void PostControl(const ThreadedServer& log, const std::string& path) {
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + FormatAddress(log.ListenAddress()) + path;
  REQUIRE(FetchAll({call})[0].status == 200);
}

PublishedRecord MakeDataCentreRecord() {
  const RecordReport report = ParseRecordFile(kDataCentre);
  REQUIRE(report.failures.empty());
  return report.record;
}

TEST_CASE("the second of two records for one revision is refused") {
  const ThreadedServer log = MakeLogServer();
  LogSession first(log.ListenAddress());
  LogSession second(log.ListenAddress());
  const PublishOutcome winner =
      PublishRecord(first, MakeDataCentreRecord(), 0, "change-1");
  CHECK(winner.accepted);
  CHECK(winner.revision == 1);
  const PublishOutcome loser =
      PublishRecord(second, MakeDataCentreRecord(), 0, "change-2");
  CHECK_FALSE(loser.accepted);
  CHECK(loser.code == ResultCode::kRecordRevisionConflict);
  CHECK(loser.revision == 1);
}

// Guards against a publisher that reports a failure, or publishes again, when
// only the acknowledgement of a successful append was lost.
TEST_CASE("a record with a lost acknowledgement is found by reading back") {
  const ThreadedServer log = MakeLogServer();
  PostControl(log, "/control/lose_acks?count=1");
  LogSession session(log.ListenAddress());
  const PublishOutcome outcome =
      PublishRecord(session, MakeDataCentreRecord(), 0, "change-1");
  CHECK(outcome.accepted);
  CHECK(outcome.revision == 1);
}

TEST_CASE("an outage of the log is reported and nothing is published") {
  const ThreadedServer log = MakeLogServer();
  PostControl(log, "/control/outage?ms=60000&mode=refuse");
  LogSession session(log.ListenAddress());
  const PublishOutcome outcome =
      PublishRecord(session, MakeDataCentreRecord(), 0, "change-1");
  CHECK_FALSE(outcome.accepted);
  CHECK(outcome.code == ResultCode::kLogUnreachable);
}

// Guards against a change of service state that drops the record's other
// fields.
TEST_CASE("taking a data centre out of service keeps its other fields") {
  const RecordReport before = ParseRecordFile(kDataCentre);
  const RecordReport after =
      MakeServiceStateRecord(before.record.subject, before.record.copy, false);
  REQUIRE(after.failures.empty());
  const auto& content = std::get<DataCentreContent>(*after.record.copy.content);
  CHECK_FALSE(content.in_service);
  CHECK(content.region == "viti-levu");
}

TEST_CASE("errors in record files name the field and the valid values") {
  CHECK(ParseRecordFile("[]").failures[0].code == ResultCode::kRecordMalformed);
  const RecordReport misspelt = ParseRecordFile(
      R"({"kind": "data_centre", "subject": "x", "schema": 2,
          "content": {"state": "in_service", "regoin": "y"}})");
  REQUIRE(misspelt.failures.size() == 1);
  CHECK(misspelt.failures[0].code == ResultCode::kRecordUnknownField);
  CHECK(misspelt.failures[0].detail.find("regoin") != std::string::npos);
  const RecordReport wrong = ParseRecordFile(
      R"({"kind": "data_centre", "subject": "x", "schema": 2,
          "content": {"state": "gone"}})");
  REQUIRE_FALSE(wrong.failures.empty());
  CHECK(wrong.failures[0].detail.find("in_service") != std::string::npos);
}

TEST_CASE("the commands publish, take-out and show work on one log") {
  const ThreadedServer log = MakeLogServer();
  const std::string path = "ctl_test_record.json";
  std::ofstream(path) << kDataCentre;
  CommandOptions options;
  options.log = FormatAddress(log.ListenAddress());
  const auto run = [&](const std::vector<std::string>& arguments,
                       const std::string& change, int expected) {
    std::ostringstream out;
    std::ostringstream errors;
    options.change_id = change;
    CHECK(RunCommand(arguments, options, out, errors) == expected);
    return out.str() + errors.str();
  };
  CHECK(run({"publish", path}, "c1", kExitSuccess) == "accepted revision=1\n");
  CHECK(run({"take-out", "data_centre/nadi-south"}, "c2", kExitSuccess) ==
        "accepted revision=2\n");
  const std::string shown = run({"show"}, "", kExitSuccess);
  CHECK(shown.find("data_centre/nadi-south revision=2") != std::string::npos);
  CHECK(shown.find("\"state\":\"out\"") != std::string::npos);
  run({"take-out", "data_centre/unknown"}, "c3", kExitNegative);
  run({"take-out", "nonsense"}, "c4", kExitUsage);
  run({"no-such-command"}, "", kExitUsage);
  std::remove(path.c_str());
}

}  // namespace
}  // namespace toucanhollow
