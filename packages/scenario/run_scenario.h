// Runs one scenario from its set-up to its end.
#ifndef SCENARIO_RUN_SCENARIO_H_
#define SCENARIO_RUN_SCENARIO_H_

#include <string>
#include <vector>

#include "scenario/defect.h"
#include "scenario/observation.h"
#include "scenario/scenario.h"

namespace toucanhollow {

// How long a run goes on after the last action with a fixed time.
constexpr Duration kScenarioTail = Seconds(10);

struct ScenarioResult {
  Observations seen;
  // One line for each expectation that was not met, or whose moment was never
  // reached, with its line in the file.
  std::vector<std::string> failures;
};

ScenarioResult RunScenario(const Scenario& scenario,
                           Defect defect = Defect::kNone,
                           bool tracing = false);

// The events up to the end and the seed, for a failed run.
std::string DescribeRun(const Scenario& scenario, const Observations& seen);

}  // namespace toucanhollow

#endif  // SCENARIO_RUN_SCENARIO_H_
