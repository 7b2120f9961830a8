#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "fault_matrix/expected_red.h"
#include "fault_matrix/fault_matrix.h"

namespace toucanhollow {
namespace {

constexpr int kThreads = 4;
// Cases tried at once for a defect.
constexpr std::size_t kDefectBatch = 200;

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

// Guards against a checker that cannot fail: without each rule, the invariant
// that the rule guards must turn red in at least one cell.
TEST_CASE("every deliberate defect turns a cell red") {
  const std::vector<MatrixCase> all = GenerateCases(1);
  for (const ExpectedRed& expected : ExpectedReds()) {
    std::size_t red = 0;
    for (std::size_t begin = 0; begin < all.size() && red == 0;
         begin += kDefectBatch) {
      // A stride mixes the procedures, so that most defects show early.
      std::vector<MatrixCase> batch;
      for (std::size_t i = begin / kDefectBatch; i < all.size();
           i += all.size() / kDefectBatch) {
        batch.push_back(all[i]);
      }
      for (const MatrixFailure& failure :
           RunCases(batch, expected.defect, kThreads)) {
        red += std::ranges::count(failure.violations, expected.invariant,
                                  &Violation::invariant);
      }
    }
    INFO(expected.name << " and " << expected.invariant);
    CHECK(red > 0);
  }
}

}  // namespace
}  // namespace toucanhollow
