#include "scenario/run_scenario.h"

#include <algorithm>
#include <memory>

#include "base/check.h"
#include "scenario/agent_performer.h"
#include "scenario/config_holder.h"
#include "scenario/entry_host_performer.h"
#include "scenario/fake_group.h"
#include "scenario/map_agent_performer.h"
#include "scenario/operator_performer.h"
#include "scenario/site.h"

namespace toucanhollow {
namespace {

Moment MomentOf(const std::string& name) {
  for (const MomentName& known : MomentNames()) {
    if (known.name == name) {
      return known.moment;
    }
  }
  InternalCheck(false, "the parser lets only known moments through");
  return {};
}

std::string_view NameOfOutcome(CallerOutcome outcome) {
  switch (outcome) {
    case CallerOutcome::kPending:
      return "pending";
    case CallerOutcome::kAnswered:
      return "answered";
    case CallerOutcome::kRefused:
      return "refused";
    case CallerOutcome::kUnknown:
      return "unknown";
  }
  return {};
}

// Checks expectations against what was observed so far.
struct Judge {
  const Observations& seen;

  std::string Outcome(const Action& action) const {
    CallerOutcome outcome = CallerOutcome::kPending;
    std::string code;
    for (const CallerTold& told : this->seen.told) {
      if (told.request == action.subject) {
        outcome = told.outcome;
        code = " (" + std::string(DescribeResultCode(told.code).name) + ")";
      }
    }
    return std::ranges::find(action.outcomes, outcome) != action.outcomes.end()
               ? ""
               : action.subject + " is " + std::string(NameOfOutcome(outcome)) +
                     code;
  }

  // Runs of a request, or of all requests with a key of that name.
  std::string Runs(const Action& action) const {
    const auto count =
        std::ranges::count_if(this->seen.runs, [&](const Run& run) {
          return run.request == action.subject ||
                 (!run.key.empty() && run.key.ends_with("-" + action.subject));
        });
    const bool meets =
        action.at_most ? count <= action.count : count == action.count;
    return meets ? ""
                 : action.subject + " ran " + std::to_string(count) + " times";
  }

  std::string Load(const Action& action, TimePoint now) const {
    const auto count =
        std::ranges::count_if(this->seen.runs, [&](const Run& run) {
          return run.endpoint == action.subject && !run.whole &&
                 !run.cancelled && run.ended == run.started &&
                 run.started <= now;
        });
    return count <= action.count ? ""
                                 : action.subject + " bears " +
                                       std::to_string(count) + " requests";
  }

  // A few seconds after the record: as I3 allows.
  std::string NoNewWork(const Action& action, TimePoint now) const {
    for (const Run& run : this->seen.runs) {
      if (run.data_centre == action.subject && run.started > now - Seconds(1)) {
        return run.endpoint + " started " + run.request;
      }
    }
    return "";
  }

  // Maps are numbered by the changes that came into force.
  std::string UsesMap(const Action& action) const {
    std::int64_t version = 0;
    std::int64_t changes = 0;
    for (const RankStep& step : this->seen.steps) {
      if (step.group == action.subject && step.map_version != version) {
        version = step.map_version;
        ++changes;
      }
    }
    return changes == action.count
               ? ""
               : action.subject + " uses map " + std::to_string(changes);
  }

  std::string Exited(const Action& action) const {
    for (const NodeEvent& event : this->seen.nodes) {
      if (event.node == action.subject && event.fact == NodeFact::kExited) {
        return "";
      }
    }
    return action.subject + " has not exited";
  }
};

class Runner {
 public:
  Runner(const Scenario& scenario, Defect defect, bool tracing)
      : site(scenario, defect, tracing), pending(scenario.steps.size(), true) {}

  ScenarioResult Run() {
    const std::vector<Step>& steps = this->site.scenario.steps;
    Duration last{};
    for (std::size_t i = 0; i < steps.size(); ++i) {
      if (steps[i].when.empty()) {
        last = std::max(last, steps[i].at);
        this->site.world.queue.After(steps[i].at,
                                     [=, this] { this->Perform(i); });
      } else {
        this->site.world.When(MomentOf(steps[i].when), steps[i].when_at,
                              [=, this] { this->PerformAfter(i); });
      }
    }
    this->site.world.queue.RunUntil(TimePoint(last + kScenarioTail));
    for (std::size_t i = 0; i < steps.size(); ++i) {
      if (this->pending[i]) {
        this->Fail(steps[i],
                   "the moment " + steps[i].when + " was never reached");
      }
    }
    return {this->site.Finish(), std::move(this->failures)};
  }

 private:
  void PerformAfter(std::size_t index) {
    const Duration delay = this->site.scenario.steps[index].at;
    if (delay == Duration{0}) {
      this->Perform(index);
    } else {
      this->site.world.queue.After(delay, [=, this] { this->Perform(index); });
    }
  }

  void Fail(const Step& step, const std::string& what) {
    this->site.world.Trace("expectation not met: " + what);
    this->failures.push_back("line " + std::to_string(step.line) + ": " + what);
  }

  void Expect(const Step& step, const std::string& fault) {
    if (!fault.empty()) {
      this->Fail(step, fault);
    }
  }

  void Perform(std::size_t index) {
    this->pending[index] = false;
    const Step& step = this->site.scenario.steps[index];
    const Action& action = step.action;
    const Judge judge{this->site.world.seen};
    switch (action.kind) {
      case ActionKind::kRequest:
        this->site.Ask(action);
        break;
      case ActionKind::kTakeOut:
      case ActionKind::kBringBack:
        PublishDataCentre(this->site, "operator-1", action.subject,
                          action.kind == ActionKind::kTakeOut);
        break;
      case ActionKind::kRestartEngine:
        this->site.RestartEngine(action.subject);
        break;
      case ActionKind::kChangeMap:
        ++this->site.wanted_maps[action.subject];
        break;
      case ActionKind::kShutDown:
        this->site.ShutDown(action.subject);
        break;
      case ActionKind::kListAsLeaving:
        this->site.ListAsLeaving(action.subject);
        break;
      case ActionKind::kStart:
        this->site.Start(action.subject);
        break;
      case ActionKind::kFault:
        this->site.Apply(action.fault);
        break;
      case ActionKind::kExpectOutcome:
        this->Expect(step, judge.Outcome(action));
        break;
      case ActionKind::kExpectRuns:
        this->Expect(step, judge.Runs(action));
        break;
      case ActionKind::kExpectNoNewWork:
        this->Expect(step, judge.NoNewWork(action, this->site.world.Now()));
        break;
      case ActionKind::kExpectLoad:
        this->Expect(step, judge.Load(action, this->site.world.Now()));
        break;
      case ActionKind::kExpectExited:
        this->Expect(step, judge.Exited(action));
        break;
      case ActionKind::kExpectRecord:
        this->Expect(step, this->InForceEverywhere(action));
        break;
      case ActionKind::kExpectMapVersion:
        this->Expect(step, judge.UsesMap(action));
        break;
    }
  }

  std::string InForceEverywhere(const Action& action) {
    const std::string text = DataCentreText(action.out);
    for (const NodeSetup& node : this->site.scenario.nodes) {
      const std::uint64_t incarnation =
          this->site.world.IncarnationOf(node.name).value;
      std::string in_force;
      for (const RecordSeen& seen : this->site.world.seen.records) {
        if (seen.process == node.name && seen.incarnation == incarnation &&
            seen.subject == action.subject) {
          in_force = seen.content;
        }
      }
      if (incarnation != 0 && in_force != text) {
        return node.name + " has '" + in_force + "' in force";
      }
    }
    return "";
  }

  Site site;
  std::vector<bool> pending;
  std::vector<std::string> failures;
};

}  // namespace

ScenarioResult RunScenario(const Scenario& scenario,
                           Defect defect,
                           bool tracing) {
  const auto runner = std::make_unique<Runner>(scenario, defect, tracing);
  return runner->Run();
}

std::string DescribeRun(const Scenario& scenario, const Observations& seen) {
  std::string text =
      scenario.title + ", seed " + std::to_string(scenario.seed) + "\n";
  for (const std::string& line : seen.trace) {
    text += "  " + line + "\n";
  }
  return text;
}

}  // namespace toucanhollow
