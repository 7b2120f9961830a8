#include "fault_matrix/procedure.h"

#include <algorithm>

#include "base/check.h"
#include "scenario/run_scenario.h"

namespace toucanhollow {
namespace {

constexpr const char* kWest = "lautoka-west";
constexpr const char* kSouth = "nadi-south";
// Seeds tried until the agent of the procedure stands where it should.
constexpr std::uint64_t kMaxSeed = 2000;
constexpr Duration kStartOfProcedure = Seconds(3);
// Repeats of a key: while the first request may run, and later.
constexpr Duration kFirstRepeat = Milliseconds(3500);
constexpr Duration kSecondRepeat = Seconds(8);
// Long after the last fault.
constexpr Duration kAfterFaults = Seconds(21);
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
    case Procedure::kUnkeyedCall:
      return RequestKind::kUnkeyedCall;
  }
  return {};
}

void AddRequests(Scenario& scenario, Procedure procedure) {
  const RequestKind kind = KindOf(procedure);
  scenario.steps.push_back(
      RequestAt(kStartOfProcedure, "r1", kind, "e1", "k1"));
  if (procedure == Procedure::kKeyedCall) {
    scenario.steps.push_back(RequestAt(kFirstRepeat, "r2", kind, "e2", "k1"));
    scenario.steps.push_back(RequestAt(kSecondRepeat, "r3", kind, "e2", "k1"));
  }
  Duration after = kAfterFaults;
  for (const char* entry_host : {"e1", "e2"}) {
    for (const Procedure other : AllProcedures()) {
      const std::string name = std::string("after-") + entry_host + "-" +
                               std::to_string(static_cast<int>(other));
      scenario.steps.push_back(
          RequestAt(after, name, KindOf(other), entry_host, "k" + name));
      after += kAfterSpacing;
    }
  }
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
  }
  return {};
}

std::vector<Procedure> AllProcedures() {
  return {Procedure::kStreamedDraft, Procedure::kIdempotentRead,
          Procedure::kKeyedCall, Procedure::kUnkeyedCall};
}

std::vector<Moment> StepsOf(Procedure procedure) {
  if (procedure == Procedure::kKeyedCall) {
    return {Moment::kRequestArrived,   Moment::kDispatchSent,
            Moment::kDispatchReceived, Moment::kClaimSent,
            Moment::kClaimAnswered,    Moment::kClaimRead,
            Moment::kRunStarted,       Moment::kRunEnded,
            Moment::kResultSent,       Moment::kAnswerSent,
            Moment::kAnswerReceived};
  }
  return {Moment::kRequestArrived,   Moment::kDispatchSent,
          Moment::kDispatchReceived, Moment::kRunStarted,
          Moment::kRunEnded,         Moment::kAnswerSent,
          Moment::kAnswerReceived};
}

std::string ProcessAt(const ProcedureCase& base, Moment moment) {
  switch (moment) {
    case Moment::kRequestArrived:
    case Moment::kDispatchSent:
    case Moment::kAnswerReceived:
      return base.entry_host;
    default:
      return base.agent;
  }
}

std::vector<ProcedureCase> CasesOf(Procedure procedure) {
  std::vector<ProcedureCase> cases;
  for (const char* place : {kWest, kSouth}) {
    for (std::uint64_t seed = 1; seed <= kMaxSeed; ++seed) {
      Scenario scenario = Site(seed);
      AddRequests(scenario, procedure);
      // The home of a key depends on the key; the seed varies it.
      for (Step& step : scenario.steps) {
        if (step.action.key == "k1") {
          step.action.key = "k1-" + std::to_string(seed);
        }
      }
      const ScenarioResult result = RunScenario(scenario);
      const auto run = std::ranges::find(result.seen.runs, "r1", &Run::request);
      InternalCheck(run != result.seen.runs.end(),
                    "the request of an undisturbed case runs");
      if (run->data_centre == place) {
        scenario.title = NameOfProcedure(procedure);
        cases.push_back({.procedure = procedure,
                         .scenario = scenario,
                         .entry_host = "e1",
                         .agent = run->endpoint,
                         .data_centre = place,
                         .other_data_centre = place == kWest ? kSouth : kWest});
        break;
      }
    }
  }
  return cases;
}

}  // namespace toucanhollow
