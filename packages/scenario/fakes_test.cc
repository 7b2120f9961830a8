#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "scenario/log_follower.h"
#include "scenario/run_scenario.h"
#include "scenario/world.h"

namespace toucanhollow {
namespace {

TimePoint At(std::int64_t milliseconds) {
  return TimePoint(Milliseconds(milliseconds));
}

// A process in a data centre of its own.
Incarnation Start(World& world, const std::string& name) {
  world.network.AddNode(name, "dc-" + name);
  return world.StartProcess(name);
}

// Guards against runs that cannot be repeated from their seed.
TEST_CASE("one seed gives one run") {
  Scenario scenario;
  scenario.seed = 3;
  scenario.data_centres = {"a"};
  NodeSetup entry_host;
  entry_host.name = "e1";
  entry_host.data_centre = "a";
  NodeSetup engine = entry_host;
  engine.kind = NodeKind::kEngine;
  engine.name = "draft-1";
  engine.service = "draft";
  scenario.nodes = {entry_host, engine};
  Step step;
  step.at = Seconds(2);
  step.action.subject = "r1";
  step.action.service = "draft";
  step.action.entry_host = "e1";
  step.action.request_kind = RequestKind::kStreamedDraft;
  scenario.steps = {step};
  const auto trace = [&] {
    return RunScenario(scenario, Defect::kNone, true).seen.trace;
  };
  const std::vector<std::string> first = trace();
  CHECK(first == trace());
  scenario.seed = 4;
  CHECK(first != trace());
}

// Guards against an outage that is milder than the platform's: an append whose
// answer is lost must have taken effect, and one during an outage must not.
TEST_CASE("lost answers take effect and outages do not") {
  World world(1, Defect::kNone, false);
  const Incarnation writer = Start(world, "writer");
  std::vector<AppendAnswer> answers;
  const auto append = [&] {
    AppendToLog(
        world, "writer", writer, "s", {"x"},
        [&](AppendAnswer answer, LogOffset) { answers.push_back(answer); });
  };
  world.log.Apply({.kind = FaultKind::kLogAnswersLost, .duration = Seconds(1)});
  append();
  world.queue.RunUntil(At(5000));
  CHECK(answers == std::vector{AppendAnswer::kLost});
  CHECK(world.log.Entries("s").size() == 1);
  world.log.Apply({.kind = FaultKind::kLogDown, .duration = Seconds(1)});
  append();
  world.queue.RunUntil(At(10000));
  CHECK(answers.back() != AppendAnswer::kAcknowledged);
  CHECK(world.log.Entries("s").size() == 1);
  append();
  world.queue.RunUntil(At(15000));
  CHECK(answers.back() == AppendAnswer::kAcknowledged);
  CHECK(world.log.Entries("s").size() == 2);
}

// Guards against a paused process that acts during its pause, and a dead one
// that acts at all.
TEST_CASE("effects wait for the end of a pause and end with the process") {
  World world(1, Defect::kNone, false);
  const Incarnation first = Start(world, "a");
  std::vector<TimePoint> done;
  const auto act = [&] { done.push_back(world.Now()); };
  world.PauseProcess("a", Seconds(4));
  world.InProcess("a", first, act);
  world.InProcessAfter(Seconds(1), "a", first, act);
  world.queue.RunUntil(At(5000));
  CHECK(done == std::vector{At(4000), At(4000)});
  world.InProcessAfter(Seconds(1), "a", first, act);
  world.EndProcess("a", NodeFact::kProcessDied);
  world.queue.RunUntil(At(5500));
  CHECK(world.StartProcess("a") != first);
  world.queue.RunUntil(At(9000));
  CHECK(done.size() == 2);
}

// Guards against partitions that let messages through or that cut too much.
TEST_CASE("a partition cuts exactly its two sides") {
  World world(1, Defect::kNone, false);
  const Incarnation a = Start(world, "a");
  Start(world, "b");
  Start(world, "c");
  int arrived = 0;
  world.network.Apply({.kind = FaultKind::kCutDataCentres,
                       .target = "dc-b",
                       .peer = "dc-a",
                       .duration = Seconds(1)});
  world.Send("a", a, "b", [&] { arrived += 1; });
  world.Send("a", a, "c", [&] { arrived += 10; });
  world.queue.RunUntil(At(2000));
  CHECK(arrived == 10);
  world.Send("a", a, "b", [&] { arrived += 1; });
  world.queue.RunUntil(At(3000));
  CHECK(arrived == 11);
}

}  // namespace
}  // namespace toucanhollow
