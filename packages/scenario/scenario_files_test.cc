#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <vector>

#include <catch2/catch.hpp>

#include "scenario/parse_scenario.h"
#include "scenario/run_scenario.h"

namespace toucanhollow {
namespace {

std::vector<std::filesystem::path> ScenarioFiles() {
  std::vector<std::filesystem::path> files;
  for (const auto& entry :
       std::filesystem::directory_iterator(SCENARIO_DIRECTORY)) {
    if (entry.path().extension() == ".scenario") {
      files.push_back(entry.path());
    }
  }
  std::ranges::sort(files);
  return files;
}

// Guards against a change of a rule or a performer that breaks the behaviour
// which a scenario describes.
TEST_CASE("every scenario file meets its expectations") {
  const auto files = ScenarioFiles();
  REQUIRE_FALSE(files.empty());
  for (const auto& file : files) {
    std::stringstream text;
    text << std::ifstream(file).rdbuf();
    const Result<Scenario> scenario =
        ParseScenario(text.str(), file.filename().string());
    if (scenario.has_error()) {
      FAIL_CHECK(scenario.error().detail);
      continue;
    }
    if (const auto result = RunScenario(scenario.value());
        !result.failures.empty()) {
      const auto traced = RunScenario(scenario.value(), Defect::kNone, true);
      std::string message = file.filename().string() + "\n";
      for (const std::string& failure : traced.failures) {
        message += failure + "\n";
      }
      FAIL_CHECK(message + DescribeRun(scenario.value(), traced.seen));
    }
  }
}

}  // namespace
}  // namespace toucanhollow
