#include "fault_matrix/expected_red.h"

#include <algorithm>
#include <array>

namespace toucanhollow {
namespace {

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

std::size_t CountRed(const std::vector<MatrixCase>& cases,
                     const ExpectedRed& expected,
                     int threads) {
  const auto failures = RunCases(cases, expected.defect, threads);
  return static_cast<std::size_t>(
      std::ranges::count_if(failures, [&](const MatrixFailure& failure) {
        return std::ranges::find(failure.violations, expected.invariant,
                                 &Violation::invariant) !=
               failure.violations.end();
      }));
}

}  // namespace

std::span<const ExpectedRed> ExpectedReds() {
  return kDefects;
}

std::string FormatDefects(const std::vector<MatrixCase>& cases,
                          std::size_t stride,
                          int threads) {
  std::vector<MatrixCase> chosen;
  for (std::size_t i = 0; i < cases.size(); i += stride) {
    chosen.push_back(cases[i]);
  }
  std::string table =
      "| deliberate defect | invariant | red cases |\n|---|---|---|\n";
  for (const ExpectedRed& expected : kDefects) {
    table.append("| ")
        .append(expected.name)
        .append(" | ")
        .append(expected.invariant)
        .append(" | ")
        .append(std::to_string(CountRed(chosen, expected, threads)))
        .append(" of ")
        .append(std::to_string(chosen.size()))
        .append(" |\n");
  }
  return table;
}

}  // namespace toucanhollow
