#include "config/snapshot_request.h"

namespace toucanhollow {
namespace {

// A record usually comes by the log within this time; a snapshot of 1,100
// endpoints is some 300 KB and is asked for only after it.
constexpr Duration kSnapshotRequestDelay = Seconds(2);
constexpr Duration kRequestInterval = Seconds(1);
// A gap may be one that the peers have as well, so it is asked about rarely.
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
