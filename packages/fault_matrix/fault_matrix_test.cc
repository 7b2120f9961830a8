#include <map>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "fault_matrix/fault_matrix.h"

namespace toucanhollow {
namespace {

constexpr int kThreads = 4;

// The number of failed cases by invariant, and the first case of each.
std::string Summarize(const std::vector<MatrixCase>& cases,
                      const std::vector<MatrixFailure>& failures) {
  std::map<std::string, std::pair<int, const MatrixFailure*>> by_invariant;
  for (const MatrixFailure& failure : failures) {
    auto& [count, first] = by_invariant[failure.violations.front().invariant];
    ++count;
    first = first == nullptr ? &failure : first;
  }
  std::string text;
  for (const auto& [invariant, found] : by_invariant) {
    text += invariant + " in " + std::to_string(found.first) + " cases\n" +
            DescribeFailure(cases[found.second->index], *found.second,
                            Defect::kNone);
  }
  return text;
}

// Guards against a rule that holds in ordinary runs and breaks under a fault,
// two faults, or the same fault twice.
TEST_CASE("every cell of the fault matrix keeps the invariants") {
  const std::vector<MatrixCase> cases = GenerateCases(1);
  const auto failures = RunCases(cases, Defect::kNone, kThreads);
  INFO(Summarize(cases, failures));
  CHECK(failures.empty());
  CHECK(cases.size() > 1000);
}

}  // namespace
}  // namespace toucanhollow
