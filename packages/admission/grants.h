// IssueGrants reserves slots for entry hosts for a short time.
#ifndef ADMISSION_GRANTS_H_
#define ADMISSION_GRANTS_H_

#include <vector>

#include "admission/admission_state.h"
#include "base/name.h"
#include "base/time.h"

namespace toucanhollow {

// Number of slots that an entry host used since grants were last issued.
struct GrantDemand {
  ProcessName sender;
  int wanted = 0;

  bool operator==(const GrantDemand&) const = default;
};

struct IssuedGrant {
  ProcessName holder;
  // All slots granted to the holder; replaces its earlier grant.
  int count = 0;
  Duration lifetime{0};

  bool operator==(const IssuedGrant&) const = default;
};

struct GrantDecision {
  AdmissionState state;
  // One per entry host in the demand; the count is zero if it gets no slot.
  std::vector<IssuedGrant> issued;

  bool operator==(const GrantDecision&) const = default;
};

// Replaces all grants by shares of the free slots in proportion to the demand.
// The sum of grants and slots in use then does not exceed the limit. An
// endpoint that accepts no work or is not ready grants nothing.
GrantDecision IssueGrants(AdmissionState&& state,
                          std::vector<GrantDemand> demand,
                          TimePoint now);

}  // namespace toucanhollow

#endif  // ADMISSION_GRANTS_H_
