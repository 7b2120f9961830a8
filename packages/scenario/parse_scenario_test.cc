#include <catch2/catch.hpp>

#include "scenario/parse_scenario.h"

namespace toucanhollow {
namespace {

std::string ErrorOf(const std::string& text) {
  const Result<Scenario> result = ParseScenario(text, "test.scenario");
  REQUIRE(result.has_error());
  CHECK(result.error().code == ResultCode::kSettingsInvalid);
  return result.error().detail;
}

// Guards against a statement that is read into the wrong field or not at all,
// which would make a scenario pass without testing anything.
TEST_CASE("every statement is read into its fields") {
  const Result<Scenario> result = ParseScenario(
      "scenario lost append answer # not a comment here\n"
      "seed 7\n"
      "\n"
      "  # an indented comment\n"
      "data centre lautoka-west\n"
      "entry host e1 in lautoka-west\n"
      "endpoint fees-1 in lautoka-west serving fees cold  # cold\n"
      "engine g-0 in nadi-south serving draft rank 3 warm without fencing\n"
      "at 20 ms request r1 call to fees by e1 key k1\n"
      "at 1 min request r2 stream to draft by e1\n"
      "when claim-sent by fees-1 after 2 ms log answers lost for 3 s\n"
      "when claim-sent delay messages from e1 to fees-1 by 2 ms for 1 s\n"
      "at 2 s cut nadi-south from platform for 4 s\n"
      "at 2 s cut nadi-south from lautoka-west for 4 s\n"
      "at 3 s expect r1 answered or unknown\n"
      "at 3 s expect r1 runs at most 1 times\n"
      "at 3 s expect nadi-south is in service everywhere\n"
      "at 3 s expect draft uses map 2\n"
      "at 3 s expect no new work in nadi-south\n"
      "at 3 s expect e1 exited",
      "test.scenario");
  if (result.has_error()) {
    FAIL(result.error().detail);
  }
  const Scenario& scenario = result.value();
  CHECK(scenario.title == "lost append answer # not a comment here");
  CHECK(scenario.seed == 7);
  CHECK(scenario.data_centres == std::vector<std::string>{"lautoka-west"});
  REQUIRE(scenario.nodes.size() == 3);
  CHECK(scenario.nodes[0] == NodeSetup{.kind = NodeKind::kEntryHost,
                                       .name = "e1",
                                       .data_centre = "lautoka-west"});
  CHECK(scenario.nodes[1] == NodeSetup{.kind = NodeKind::kServiceEndpoint,
                                       .name = "fees-1",
                                       .data_centre = "lautoka-west",
                                       .service = "fees",
                                       .warm = false});
  CHECK(scenario.nodes[2] == NodeSetup{.kind = NodeKind::kEngine,
                                       .name = "g-0",
                                       .data_centre = "nadi-south",
                                       .service = "draft",
                                       .rank = 3,
                                       .fencing = false});
  REQUIRE(scenario.steps.size() == 12);
  CHECK(scenario.steps[0].at == Milliseconds(20));
  CHECK(scenario.steps[0].line == 9);
  CHECK(scenario.steps[0].action ==
        Action{.kind = ActionKind::kRequest,
               .subject = "r1",
               .service = "fees",
               .entry_host = "e1",
               .key = "k1",
               .request_kind = RequestKind::kKeyedCall});
  CHECK(scenario.steps[1].at == Seconds(60));
  CHECK(scenario.steps[1].action.request_kind == RequestKind::kStreamedDraft);
  CHECK(scenario.steps[2].when == "claim-sent");
  CHECK(scenario.steps[2].when_at == "fees-1");
  CHECK(scenario.steps[2].at == Milliseconds(2));
  CHECK(scenario.steps[2].action.kind == ActionKind::kFault);
  CHECK(scenario.steps[2].action.fault ==
        Fault{.kind = FaultKind::kLogAnswersLost, .duration = Seconds(3)});
  CHECK(scenario.steps[3].action.fault ==
        Fault{.kind = FaultKind::kLateMessages,
              .target = "e1",
              .peer = "fees-1",
              .delay = Milliseconds(2),
              .duration = Seconds(1)});
  CHECK(scenario.steps[4].action.fault.kind == FaultKind::kCutFromPlatform);
  CHECK(scenario.steps[5].action.fault ==
        Fault{.kind = FaultKind::kCutDataCentres,
              .target = "nadi-south",
              .peer = "lautoka-west",
              .duration = Seconds(4)});
  CHECK(scenario.steps[6].action.outcomes ==
        std::vector{CallerOutcome::kAnswered, CallerOutcome::kUnknown});
  CHECK(scenario.steps[7].action == Action{.kind = ActionKind::kExpectRuns,
                                           .subject = "r1",
                                           .count = 1,
                                           .at_most = true});
  CHECK_FALSE(scenario.steps[8].action.out);
  CHECK(scenario.steps[8].action.kind == ActionKind::kExpectRecord);
  CHECK(scenario.steps[9].action.count == 2);
  CHECK(scenario.steps[10].action.subject == "nadi-south");
  CHECK(scenario.steps[11].action.kind == ActionKind::kExpectExited);
}

// Guards against errors that an operator cannot find in the file.
TEST_CASE("errors name line, column and what was expected") {
  CHECK(ErrorOf("seed 1\nentry host e1 at nadi-south\n") ==
        "test.scenario:2:15: expected \"in\"");
  CHECK(ErrorOf("seed x\n") == "test.scenario:1:6: expected a number");
  CHECK(ErrorOf("at 5 hours start a\n") ==
        "test.scenario:1:6: expected a unit: ms, s or min");
  CHECK(ErrorOf("when lunch start a\n") ==
        "test.scenario:1:6: expected the name of a step, such as claim-sent");
  CHECK(ErrorOf("at 5 s start a now\n") ==
        "test.scenario:1:16: expected the end of the line");
  CHECK(ErrorOf("bogus\n").starts_with(
      "test.scenario:1:1: expected a statement"));
  CHECK(ErrorOf("at 1 s expect r1 happy\n")
            .starts_with("test.scenario:1:18: expected what is expected"));
}

}  // namespace
}  // namespace toucanhollow
