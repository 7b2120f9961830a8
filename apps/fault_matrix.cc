// Runs the fault matrix, prints the failed cases and writes the page.
#include <fstream>
#include <iostream>
#include <string>

#include <gflags/gflags.h>

#include "fault_matrix/fault_matrix.h"

DEFINE_int32(rounds, 1, "How often each pair of faults is tried.");
DEFINE_int32(threads, 4, "Threads that run cases.");
DEFINE_int32(shown, 3, "Failed cases to print with their events.");
DEFINE_string(page, "", "File to write the table to; none if empty.");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto cases = toucanhollow::GenerateCases(FLAGS_rounds);
  const auto failures =
      toucanhollow::RunCases(cases, toucanhollow::Defect::kNone, FLAGS_threads);
  int shown = 0;
  for (const auto& failure : failures) {
    if (shown++ < FLAGS_shown) {
      std::cout << toucanhollow::DescribeFailure(cases[failure.index], failure,
                                                 toucanhollow::Defect::kNone);
    }
  }
  std::cout << cases.size() << " cases, " << failures.size() << " failed\n";
  if (!FLAGS_page.empty()) {
    std::ofstream(FLAGS_page) << toucanhollow::FormatMatrix(cases, failures);
  }
  return failures.empty() ? 0 : 1;
}
