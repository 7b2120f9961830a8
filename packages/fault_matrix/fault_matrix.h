// The fault matrix: generates the cases of every cell, runs them and judges
// them.
#ifndef FAULT_MATRIX_FAULT_MATRIX_H_
#define FAULT_MATRIX_FAULT_MATRIX_H_

#include <cstddef>
#include <string>
#include <vector>

#include "fault_matrix/check_invariants.h"
#include "fault_matrix/fault_column.h"
#include "fault_matrix/procedure.h"
#include "scenario/defect.h"

namespace toucanhollow {

// One run of a cell: the fault of the column strikes at the step of the row,
// once, twice, or followed by another fault.
struct MatrixCase {
  Procedure procedure = Procedure::kStreamedDraft;
  Moment moment = Moment::kRequestArrived;
  FaultColumn column = FaultColumn::kStall;
  Scenario scenario = {};
};

struct MatrixFailure {
  std::size_t index = 0;
  std::vector<Violation> violations;
};

// With one round, as in CI, each pair is tried in one of the two cases of a
// procedure; more rounds try it in both, with other distances in time.
std::vector<MatrixCase> GenerateCases(int rounds);

// Runs the cases on `threads` threads. The order of the failures is that of
// the cases.
std::vector<MatrixFailure> RunCases(const std::vector<MatrixCase>& cases,
                                    Defect defect,
                                    int threads);

// The case in words with the events of its run, for a report.
std::string DescribeFailure(const MatrixCase& matrix_case,
                            const MatrixFailure& failure,
                            Defect defect);

// The page docs/fault-matrix.md.
std::string FormatMatrix(const std::vector<MatrixCase>& cases,
                         const std::vector<MatrixFailure>& failures);

}  // namespace toucanhollow

#endif  // FAULT_MATRIX_FAULT_MATRIX_H_
