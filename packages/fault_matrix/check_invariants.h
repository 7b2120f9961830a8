// The checker: judges one run against the invariants I1 to I9 of the design
// page. It knows only what was observed from outside.
#ifndef FAULT_MATRIX_CHECK_INVARIANTS_H_
#define FAULT_MATRIX_CHECK_INVARIANTS_H_

#include <string>
#include <vector>

#include "scenario/observation.h"

namespace toucanhollow {

struct Violation {
  // "I1" to "I9", "told" for a caller that was left without an outcome,
  // "retries" for an overspent retry budget, or "service" for a request that
  // failed or a group that stood long after the last fault.
  std::string invariant;
  std::string detail;

  bool operator==(const Violation&) const = default;
};

std::vector<Violation> CheckInvariants(const Observations& seen);

}  // namespace toucanhollow

#endif  // FAULT_MATRIX_CHECK_INVARIANTS_H_
