// Runs the fault matrix, prints the failed cases and writes the page.
#include <fstream>
#include <iostream>
#include <map>
#include <string>

#include <gflags/gflags.h>

#include "fault_matrix/expected_red.h"
#include "fault_matrix/fault_matrix.h"

DEFINE_int32(rounds, 1, "How often each pair of faults is tried.");
DEFINE_int32(threads, 4, "Threads that run cases.");
DEFINE_int32(shown, 1, "Failed cases of each invariant to print with events.");
DEFINE_int32(defect_stride,
             1,
             "Each n-th case is run with each deliberate defect for the page.");
DEFINE_string(page, "", "File to write the table to; none if empty.");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto cases = toucanhollow::GenerateCases(FLAGS_rounds);
  const auto failures =
      toucanhollow::RunCases(cases, toucanhollow::Defect::kNone, FLAGS_threads);
  std::map<std::string, int> count;
  for (const auto& failure : failures) {
    const std::string& invariant = failure.violations.front().invariant;
    if (count[invariant]++ < FLAGS_shown) {
      std::cout << "case " << failure.index << ": "
                << toucanhollow::DescribeFailure(cases[failure.index], failure,
                                                 toucanhollow::Defect::kNone);
    }
  }
  for (const auto& [invariant, failed] : count) {
    std::cout << invariant << ": " << failed << " cases failed\n";
  }
  std::cout << cases.size() << " cases, " << failures.size() << " failed\n";
  if (!FLAGS_page.empty()) {
    std::ofstream(FLAGS_page)
        << toucanhollow::FormatMatrix(cases, failures)
        << "\n## Deliberate defects\n\nEach defect takes one guarding rule "
           "out. Its invariant must turn red in at least one cell, which a "
           "test checks. Run with each defect: each n-th case, n = "
        << FLAGS_defect_stride << ".\n\n"
        << toucanhollow::FormatDefects(
               cases, static_cast<std::size_t>(FLAGS_defect_stride),
               FLAGS_threads);
  }
  return failures.empty() ? 0 : 1;
}
