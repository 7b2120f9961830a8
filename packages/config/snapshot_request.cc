#include "config/snapshot_request.h"

namespace toucanhollow {
namespace {

// A record usually arrives through the log within this time. A snapshot of
// 1,100 endpoints is about 300 KB, so it is requested only after this delay.
constexpr Duration kSnapshotRequestDelay = Seconds(2);
constexpr Duration kRequestInterval = Seconds(1);
// The peers may have the same gap, so that requests because of a gap are rare.
constexpr Duration kGapRequestInterval = Seconds(30);

}  // namespace

SnapshotRequestDecision DecideSnapshotRequest(SnapshotRequestState state,
                                              const ConfigState& config,
                                              bool ready,
                                              LogOffset peer_offset,
                                              TimePoint now) {
  const bool is_behind = peer_offset > ConfigOffset(config);
  if (!is_behind && !HasConfigGap(config)) {
    state.behind_since.reset();
    return {state, false};
  }
  if (!state.behind_since) {
    state.behind_since = now;
  }
  const Duration interval = is_behind ? kRequestInterval : kGapRequestInterval;
  const bool due = !ready || now - *state.behind_since >= kSnapshotRequestDelay;
  if (!due || (state.last_request && now - *state.last_request < interval)) {
    return {state, false};
  }
  state.last_request = now;
  return {state, true};
}

}  // namespace toucanhollow
