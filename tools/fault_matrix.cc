// Runs the fault matrix, prints failed cases and writes the page of results.
#include <fstream>
#include <iostream>
#include <map>
#include <string>

#include <gflags/gflags.h>

#include "fault_matrix/expected_red.h"
#include "fault_matrix/fault_matrix.h"

DEFINE_int32(rounds,
             1,
             "Number of rounds; each round tries every pair of faults.");
DEFINE_int32(threads, 4, "Number of threads that run cases.");
DEFINE_int32(
    shown,
    1,
    "Number of failed cases of each invariant to print with their events.");
DEFINE_int32(defect_stride,
             1,
             "For the page, run every n-th case with each deliberate defect.");
DEFINE_string(page, "", "File to write the page to; none if empty.");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto cases = toucanhollow::GenerateCases(FLAGS_rounds);
  const auto failures =
      toucanhollow::RunCases(cases, toucanhollow::Defect::kNone, FLAGS_threads);
  std::map<std::string, int> failed_counts;
  for (const auto& failure : failures) {
    const std::string& invariant = failure.violations.front().invariant;
    if (failed_counts[invariant]++ < FLAGS_shown) {
      std::cout << "case " << failure.index << ": "
                << toucanhollow::DescribeFailure(cases[failure.index], failure,
                                                 toucanhollow::Defect::kNone);
    }
  }
  for (const auto& [invariant, failed_count] : failed_counts) {
    std::cout << invariant << ": " << failed_count << " cases failed\n";
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
