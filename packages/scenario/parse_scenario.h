// Reads the test language of scenarios/*.scenario.
#ifndef SCENARIO_PARSE_SCENARIO_H_
#define SCENARIO_PARSE_SCENARIO_H_

#include <string>

#include "base/result.h"
#include "scenario/scenario.h"

namespace toucanhollow {

// Parses a whole file. A kSettingsInvalid failure names the source, line and
// column, and what was expected there.
Result<Scenario> ParseScenario(const std::string& text,
                               const std::string& source);

}  // namespace toucanhollow

#endif  // SCENARIO_PARSE_SCENARIO_H_
