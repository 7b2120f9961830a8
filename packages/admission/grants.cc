#include "admission/grants.h"

#include <algorithm>
#include <utility>

#include "admission/limit.h"

namespace toucanhollow {
namespace {

int GrantableSlots(const AdmissionState& state, TimePoint now) {
  if (state.leaving || state.endpoint_out || state.data_centre_out_since ||
      !IsReady(state, now)) {
    return 0;
  }
  const int free = state.limit - CountSlotsInUse(state);
  return std::max(0, static_cast<int>(static_cast<double>(free) *
                                      state.parameters.grant_share));
}

}  // namespace

GrantDecision IssueGrants(AdmissionState&& state,
                          std::vector<GrantDemand> demand,
                          TimePoint now) {
  GrantDecision decision{AdvanceTime(std::move(state), now), {}};
  decision.state.grants.clear();
  // Shares are rounded up, so the senders with the largest demand come first.
  std::ranges::sort(demand, [](const GrantDemand& a, const GrantDemand& b) {
    return a.wanted != b.wanted ? a.wanted > b.wanted : a.sender < b.sender;
  });
  int wanted_left = 0;
  for (const GrantDemand& entry : demand) {
    wanted_left += entry.wanted;
  }
  int slots_left = GrantableSlots(decision.state, now);
  const Duration lifetime = decision.state.parameters.grant_lifetime;
  for (GrantDemand& entry : demand) {
    const int share =
        wanted_left == 0
            ? 0
            : (slots_left * entry.wanted + wanted_left - 1) / wanted_left;
    const int count = std::min({share, entry.wanted, slots_left});
    wanted_left -= entry.wanted;
    slots_left -= count;
    if (count > 0) {
      decision.state.grants[entry.sender] = {count, now + lifetime};
    }
    decision.issued.push_back({std::move(entry.sender), count, lifetime});
  }
  return decision;
}

}  // namespace toucanhollow
