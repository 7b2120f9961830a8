// IssueGrants: short promises of slots to entry hosts.
#ifndef ADMISSION_GRANTS_H_
#define ADMISSION_GRANTS_H_

#include <vector>

#include "admission/admission_state.h"
#include "base/name.h"
#include "base/time.h"

namespace toucanhollow {

// Slots that an entry host used since the last issue.
struct GrantDemand {
  ProcessName sender;
  int wanted = 0;

  bool operator==(const GrantDemand&) const = default;
};

struct IssuedGrant {
  ProcessName holder;
  // All slots that the holder has now; it replaces an earlier grant.
  int count = 0;
  Duration lifetime{0};

  bool operator==(const IssuedGrant&) const = default;
};

struct GrantDecision {
  AdmissionState state;
  // One for each entry host in the demand, with zero where nothing is given.
  std::vector<IssuedGrant> issued;

  bool operator==(const GrantDecision&) const = default;
};

// Replaces all grants by shares of the free slots in proportion to the demand.
// Grants and slots in use then sum to no more than the limit. An endpoint that
// takes no work, or that is not ready, grants nothing.
GrantDecision IssueGrants(AdmissionState&& state,
                          std::vector<GrantDemand> demand,
                          TimePoint now);

}  // namespace toucanhollow

#endif  // ADMISSION_GRANTS_H_
