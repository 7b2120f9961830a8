#include "fault_matrix/procedure.h"

#include <algorithm>
#include <array>
#include <cstddef>

#include "base/check.h"
#include "scenario/run_scenario.h"

namespace toucanhollow {
namespace {

constexpr const char* kWest = "lautoka-west";
constexpr const char* kSouth = "nadi-south";
// Seeds tried until the agent of the procedure stands where it should.
constexpr std::uint64_t kMaxSeed = 2000;
constexpr std::array kRequests = {
    Procedure::kStreamedDraft, Procedure::kIdempotentRead,
    Procedure::kKeyedCall, Procedure::kUnkeyedCall};
constexpr Duration kStartOfProcedure = Seconds(3);
// Failures of engines in a row, each while streams run.
constexpr int kFailures = 60;
constexpr Duration kFailureSpacing = Milliseconds(70);
// Repeats of a key: while the first request may run, and later.
constexpr Duration kFirstRepeat = Milliseconds(3500);
constexpr Duration kSecondRepeat = Seconds(8);
// Long after the last fault.
constexpr Duration kAfterFaults = Seconds(25);
// A cold endpoint bears two requests, so they come one by one.
constexpr Duration kAfterSpacing = Milliseconds(150);

Step RequestAt(Duration at,
               const std::string& name,
               RequestKind kind,
               const std::string& entry_host,
               const std::string& key) {
  Step step;
  step.at = at;
  step.action.kind = ActionKind::kRequest;
  step.action.subject = name;
  step.action.service = kind == RequestKind::kStreamedDraft ? "draft" : "fees";
  step.action.entry_host = entry_host;
  step.action.request_kind = kind;
  if (kind == RequestKind::kKeyedCall) {
    step.action.key = key;
  }
  return step;
}

Scenario Site(std::uint64_t seed) {
  Scenario scenario;
  scenario.seed = seed;
  scenario.data_centres = {kWest, kSouth};
  const auto add = [&](NodeKind kind, const char* name, const char* place,
                       const char* service) {
    NodeSetup node;
    node.kind = kind;
    node.name = name;
    node.data_centre = place;
    node.service = service;
    scenario.nodes.push_back(node);
  };
  add(NodeKind::kEntryHost, "e1", kWest, "");
  add(NodeKind::kEntryHost, "e2", kSouth, "");
  add(NodeKind::kServiceEndpoint, "fees-1", kWest, "fees");
  add(NodeKind::kServiceEndpoint, "fees-2", kSouth, "fees");
  add(NodeKind::kEngine, "draft-1", kWest, "draft");
  add(NodeKind::kEngine, "draft-2", kSouth, "draft");
  return scenario;
}

RequestKind KindOf(Procedure procedure) {
  switch (procedure) {
    case Procedure::kStreamedDraft:
      return RequestKind::kStreamedDraft;
    case Procedure::kIdempotentRead:
      return RequestKind::kIdempotentRead;
    case Procedure::kKeyedCall:
      return RequestKind::kKeyedCall;
    default:
      return RequestKind::kUnkeyedCall;
  }
}

bool IsRequest(Procedure procedure) {
  return procedure <= Procedure::kUnkeyedCall;
}

// Requests long after the faults, which must be answered.
void AddLaterRequests(Scenario& scenario) {
  Duration after = kAfterFaults;
  for (const char* entry_host : {"e1", "e2"}) {
    for (const Procedure other : kRequests) {
      const std::string name = std::string("after-") + entry_host + "-" +
                               std::to_string(static_cast<int>(other));
      scenario.steps.push_back(
          RequestAt(after, name, KindOf(other), entry_host, "k" + name));
      after += kAfterSpacing;
    }
  }
}

// Requests of all kinds, by both entry hosts in turn.
void AddLoad(Scenario& scenario, Duration from, Duration to, Duration spacing) {
  int index = 0;
  for (Duration at = from; at < to; at += spacing, ++index) {
    // Mostly streams, which hold an engine longest.
    const Procedure kind =
        index % 3 != 0 ? Procedure::kStreamedDraft
                       : kRequests[static_cast<std::size_t>(index / 3 % 4)];
    const std::string name = "load-" + std::to_string(index);
    scenario.steps.push_back(RequestAt(
        at, name, KindOf(kind), index % 2 == 0 ? "e1" : "e2", "k" + name));
  }
}

Step ActionAt(Duration at, ActionKind kind, const std::string& subject) {
  Step step;
  step.at = at;
  step.action.kind = kind;
  step.action.subject = subject;
  return step;
}

void AddRequests(Scenario& scenario, Procedure procedure) {
  const RequestKind kind = KindOf(procedure);
  scenario.steps.push_back(
      RequestAt(kStartOfProcedure, "r1", kind, "e1", "k1"));
  if (procedure == Procedure::kKeyedCall) {
    scenario.steps.push_back(RequestAt(kFirstRepeat, "r2", kind, "e2", "k1"));
    scenario.steps.push_back(RequestAt(kSecondRepeat, "r3", kind, "e2", "k1"));
  }
  AddLaterRequests(scenario);
}

}  // namespace

std::string NameOfProcedure(Procedure procedure) {
  switch (procedure) {
    case Procedure::kStreamedDraft:
      return "streamed draft";
    case Procedure::kIdempotentRead:
      return "idempotent read";
    case Procedure::kKeyedCall:
      return "keyed call";
    case Procedure::kUnkeyedCall:
      return "unkeyed call";
    case Procedure::kColdStart:
      return "cold start";
    case Procedure::kRepeatedFailures:
      return "repeated failures";
    case Procedure::kDrain:
      return "data centre out";
    case Procedure::kReturn:
      return "data centre back";
    case Procedure::kPublication:
      return "record publication";
    case Procedure::kEndpointLeaves:
      return "endpoint leaves";
    case Procedure::kAgentShutdown:
      return "agent shutdown";
    case Procedure::kEntryHostShutdown:
      return "entry host shutdown";
    case Procedure::kMapChange:
      return "map change";
  }
  return {};
}

std::vector<Procedure> AllProcedures() {
  std::vector<Procedure> procedures(kRequests.begin(), kRequests.end());
  procedures.insert(
      procedures.end(),
      {Procedure::kColdStart, Procedure::kRepeatedFailures, Procedure::kDrain,
       Procedure::kReturn, Procedure::kPublication, Procedure::kEndpointLeaves,
       Procedure::kAgentShutdown, Procedure::kEntryHostShutdown,
       Procedure::kMapChange});
  return procedures;
}

std::vector<Moment> StepsOf(Procedure procedure) {
  switch (procedure) {
    case Procedure::kStreamedDraft:
    case Procedure::kIdempotentRead:
    case Procedure::kUnkeyedCall:
      return {Moment::kRequestArrived,   Moment::kDispatchSent,
              Moment::kDispatchReceived, Moment::kRunStarted,
              Moment::kRunEnded,         Moment::kAnswerSent,
              Moment::kAnswerReceived};
    case Procedure::kKeyedCall:
      return {Moment::kRequestArrived,   Moment::kDispatchSent,
              Moment::kDispatchReceived, Moment::kClaimSent,
              Moment::kClaimAnswered,    Moment::kClaimRead,
              Moment::kRunStarted,       Moment::kRunEnded,
              Moment::kResultSent,       Moment::kAnswerSent,
              Moment::kAnswerReceived};
    case Procedure::kColdStart:
    case Procedure::kRepeatedFailures:
      return {Moment::kEngineRestarted};
    case Procedure::kDrain:
    case Procedure::kReturn:
    case Procedure::kPublication:
      return {Moment::kRecordSent, Moment::kRecordRead};
    case Procedure::kEndpointLeaves:
    case Procedure::kAgentShutdown:
      return {Moment::kShutdownStarted, Moment::kLeavingSent};
    case Procedure::kEntryHostShutdown:
      return {Moment::kShutdownStarted};
    case Procedure::kMapChange:
      return {Moment::kProposalSent, Moment::kProposalRead, Moment::kStaged,
              Moment::kConfirmSent,  Moment::kDecisionRead, Moment::kActivated};
  }
  return {};
}

std::string ProcessAt(const ProcedureCase& base, Moment moment) {
  switch (moment) {
    case Moment::kRequestArrived:
    case Moment::kDispatchSent:
    case Moment::kAnswerReceived:
    case Moment::kRecordRead:
      return base.entry_host;
    case Moment::kRecordSent:
    case Moment::kProposalSent:
      return "";
    case Moment::kShutdownStarted:
      return base.procedure == Procedure::kEntryHostShutdown ? base.entry_host
                                                             : base.agent;
    default:
      return base.agent;
  }
}

namespace {

Scenario MakeRequestScenario(Procedure procedure, std::uint64_t seed) {
  Scenario scenario = Site(seed);
  AddRequests(scenario, procedure);
  // The home of a key depends on the key; the seed varies it.
  for (Step& step : scenario.steps) {
    if (step.action.key == "k1") {
      step.action.key = "k1-" + std::to_string(seed);
    }
  }
  return scenario;
}

// The case whose request runs in the data centre.
ProcedureCase RequestCase(Procedure procedure, const std::string& place) {
  for (std::uint64_t seed = 1; seed <= kMaxSeed; ++seed) {
    const Scenario scenario = MakeRequestScenario(procedure, seed);
    const ScenarioResult result = RunScenario(scenario);
    const auto run = std::ranges::find(result.seen.runs, "r1", &Run::request);
    InternalCheck(run != result.seen.runs.end(),
                  "the request of an undisturbed case runs");
    if (run->data_centre == place) {
      return {.procedure = procedure,
              .scenario = scenario,
              .entry_host = "e1",
              .agent = run->endpoint,
              .data_centre = place,
              .other_data_centre = place == kWest ? kSouth : kWest};
    }
  }
  InternalCheck(false, "some seed places the request in each data centre");
  return {};
}

Step FaultAt(Duration at, const Fault& fault) {
  Step step = ActionAt(at, ActionKind::kFault, "");
  step.action.fault = fault;
  return step;
}

// Two operators race. With `dropped`, the second one is paused before the
// append and a partition outlasts the log's retention, so that its void record
// is the oldest one that the replaced processes of a data centre can read. The
// partition begins when the faults of the cell are over: a record that nobody
// reads before the log drops it is lost by any rule.
void AddPublication(Scenario& scenario, bool dropped) {
  const Duration at = kStartOfProcedure;
  if (dropped) {
    scenario.log_retention = Seconds(8);
    const Duration cut = at + Seconds(6);
    const Duration replaced = cut + Milliseconds(8500);
    Step pause = FaultAt(Duration{0}, {.kind = FaultKind::kPause,
                                       .target = "operator-2",
                                       .duration = replaced - at});
    pause.when = NameOf(Moment::kRecordSent);
    pause.when_at = "operator-2";
    scenario.steps.push_back(pause);
    for (const char* place : {kWest, kSouth}) {
      scenario.steps.push_back(
          FaultAt(cut, {.kind = FaultKind::kCutFromPlatform,
                        .target = place,
                        .duration = Milliseconds(9000)}));
    }
    scenario.steps.push_back(FaultAt(cut, {.kind = FaultKind::kCutDataCentres,
                                           .target = kWest,
                                           .peer = kSouth,
                                           .duration = Milliseconds(9500)}));
    for (const char* node : {"e1", "fees-1", "draft-1"}) {
      scenario.steps.push_back(FaultAt(
          replaced, {.kind = FaultKind::kProcessDeath, .target = node}));
      scenario.steps.push_back(
          ActionAt(replaced + Milliseconds(300), ActionKind::kStart, node));
    }
  }
  scenario.steps.push_back(
      FaultAt(at, {.kind = FaultKind::kOperatorsRace, .target = kSouth}));
  scenario.steps.push_back(
      ActionAt(at + Seconds(18), ActionKind::kBringBack, kSouth));
}

// The agent of the procedure is the proposer in the first case, and the last
// rank in the second one.
ProcedureCase MapCase(bool fencing) {
  ProcedureCase made{.procedure = Procedure::kMapChange,
                     .scenario = {},
                     .entry_host = fencing ? "rank-1" : "rank-0",
                     .agent = fencing ? "rank-0" : "rank-2",
                     .data_centre = kWest,
                     .other_data_centre = kSouth};
  made.scenario.data_centres = {kWest, kSouth};
  for (int rank = 0; rank < 3; ++rank) {
    NodeSetup node;
    node.kind = NodeKind::kEngine;
    node.name = "rank-" + std::to_string(rank);
    node.data_centre = kWest;
    node.service = "group";
    node.rank = rank;
    node.fencing = fencing;
    made.scenario.nodes.push_back(node);
  }
  made.scenario.steps.push_back(
      ActionAt(kStartOfProcedure, ActionKind::kChangeMap, "group"));
  made.scenario.steps.push_back(ActionAt(kStartOfProcedure + Seconds(20),
                                         ActionKind::kChangeMap, "group"));
  return made;
}

// The case with the endpoint of the procedure in the second data centre; the
// entry host stands in `place`.
ProcedureCase OperationCase(Procedure procedure, const std::string& place) {
  ProcedureCase made{.procedure = procedure,
                     .scenario = Site(1),
                     .entry_host = place == kWest ? "e1" : "e2",
                     .agent = "draft-2",
                     .data_centre = kSouth,
                     .other_data_centre = kWest};
  Scenario& scenario = made.scenario;
  const Duration at = kStartOfProcedure;
  switch (procedure) {
    case Procedure::kColdStart:
      AddLoad(scenario, at, at + Seconds(3), Milliseconds(20));
      scenario.steps.push_back(ActionAt(
          at + Milliseconds(500), ActionKind::kRestartEngine, made.agent));
      break;
    case Procedure::kRepeatedFailures:
      AddLoad(scenario, at, at + Seconds(4), Milliseconds(25));
      for (int i = 0; i < kFailures; ++i) {
        scenario.steps.push_back(ActionAt(at + i * kFailureSpacing,
                                          ActionKind::kRestartEngine,
                                          i % 2 == 0 ? "draft-2" : "draft-1"));
      }
      break;
    case Procedure::kDrain:
      AddLoad(scenario, at - Seconds(1), at + Seconds(10), Milliseconds(150));
      scenario.steps.push_back(ActionAt(at, ActionKind::kTakeOut, kSouth));
      scenario.steps.push_back(
          ActionAt(at + Seconds(15), ActionKind::kBringBack, kSouth));
      break;
    case Procedure::kReturn:
      scenario.data_centres_out = {kSouth};
      scenario.steps.push_back(
          ActionAt(at + Seconds(6), ActionKind::kBringBack, kSouth));
      AddLoad(scenario, at + Seconds(5), at + Seconds(9), Milliseconds(50));
      break;
    case Procedure::kPublication:
      AddPublication(scenario, place == kSouth);
      break;
    case Procedure::kEndpointLeaves:
      AddLoad(scenario, at - Seconds(1), at + Seconds(6), Milliseconds(100));
      scenario.steps.push_back(
          ActionAt(at, ActionKind::kListAsLeaving, made.agent));
      break;
    case Procedure::kAgentShutdown:
      AddLoad(scenario, at - Seconds(1), at + Seconds(6), Milliseconds(100));
      scenario.steps.push_back(ActionAt(at, ActionKind::kShutDown, made.agent));
      scenario.steps.push_back(
          ActionAt(at + Seconds(12), ActionKind::kStart, made.agent));
      break;
    case Procedure::kEntryHostShutdown:
      AddLoad(scenario, at - Seconds(1), at + Seconds(3), Milliseconds(80));
      scenario.steps.push_back(
          ActionAt(at, ActionKind::kShutDown, made.entry_host));
      scenario.steps.push_back(
          ActionAt(at + Seconds(12), ActionKind::kStart, made.entry_host));
      break;
    default:
      InternalCheck(false, "the procedure is an operation");
  }
  AddLaterRequests(scenario);
  return made;
}

}  // namespace

std::vector<ProcedureCase> CasesOf(Procedure procedure) {
  std::vector<ProcedureCase> cases;
  for (const char* place : {kWest, kSouth}) {
    if (procedure == Procedure::kMapChange) {
      cases.push_back(MapCase(place == kWest));
    } else {
      cases.push_back(IsRequest(procedure) ? RequestCase(procedure, place)
                                           : OperationCase(procedure, place));
    }
  }
  return cases;
}

}  // namespace toucanhollow
