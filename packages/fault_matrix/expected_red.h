// The deliberate defects with the invariant that each must turn red.
#ifndef FAULT_MATRIX_EXPECTED_RED_H_
#define FAULT_MATRIX_EXPECTED_RED_H_

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "fault_matrix/fault_matrix.h"
#include "scenario/defect.h"

namespace toucanhollow {

struct ExpectedRed {
  Defect defect;
  const char* name;
  // As the checker names it.
  const char* invariant;
};

std::span<const ExpectedRed> ExpectedReds();

// Runs every `stride`-th case with each defect. A table with the number of
// cases in which the defect's invariant turned red.
std::string FormatDefects(const std::vector<MatrixCase>& cases,
                          std::size_t stride,
                          int threads);

}  // namespace toucanhollow

#endif  // FAULT_MATRIX_EXPECTED_RED_H_
