#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

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

struct ExpectedRed {
  Defect defect;
  const char* name;
  const char* invariant;
};

constexpr auto kDefects = std::to_array<ExpectedRed>({
    {Defect::kRunBeforeClaim, "run before the claim is settled", "I6"},
    {Defect::kAcceptOldIncarnation, "accept an old incarnation", "I6"},
    {Defect::kForgetDispatches, "forget the dispatches seen", "I6"},
    {Defect::kNotRunAfterSend, "say not run after a send", "I5"},
    {Defect::kRetryNonRepeatable, "repeat a non-repeatable request", "I6"},
    {Defect::kAcceptOverLimit, "accept over the limit", "I2"},
    {Defect::kStartWarm, "take a new engine for warm", "I2"},
    {Defect::kIgnoreOut, "ignore the record of an out data centre", "I3"},
    {Defect::kIgnoreLeaving, "take work while leaving", "I7"},
    {Defect::kCutOnShutdown, "cut streams on shutdown", "I8"},
    {Defect::kTruncatedAsWhole, "take a truncated answer as whole", "I4"},
    {Defect::kIgnoreCorrelation, "ignore the correlation of answers", "I4"},
    {Defect::kForgetRetryBudget, "forget the retry budget", "retries"},
    {Defect::kActivateWithoutDecision, "activate without the decision", "I1"},
    {Defect::kNoHold, "do not hold before the activation step", "I1"},
    {Defect::kAcceptAnyRevision, "accept a wrong expected revision", "I9"},
    {Defect::kDropUndecided, "decide what cannot be verified", "I9"},
    {Defect::kSnapshotReverts, "let a snapshot go back", "I9"},
});

// Guards against a checker that cannot fail: without each rule, the invariant
// that the rule guards must turn red in at least one cell.
TEST_CASE("every deliberate defect turns a cell red") {
  const std::vector<MatrixCase> all = GenerateCases(1);
  for (const ExpectedRed& expected : kDefects) {
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
