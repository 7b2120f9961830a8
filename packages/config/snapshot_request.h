// Decides when a process requests a configuration snapshot from a peer.
#ifndef CONFIG_SNAPSHOT_REQUEST_H_
#define CONFIG_SNAPSHOT_REQUEST_H_

#include <optional>

#include "base/log_entry.h"
#include "base/time.h"
#include "config/config_fold.h"

namespace toucanhollow {

struct SnapshotRequestState {
  // Since when this process has been behind a peer or has had a gap.
  std::optional<TimePoint> behind_since;
  std::optional<TimePoint> last_request;

  bool operator==(const SnapshotRequestState&) const = default;
};

struct SnapshotRequestDecision {
  SnapshotRequestState state;
  bool request_snapshot = false;

  bool operator==(const SnapshotRequestDecision&) const = default;
};

// To be called with the offset that a peer's heartbeat reports. `ready` tells
// whether this process has any configuration; without one it requests a
// snapshot at once.
SnapshotRequestDecision DecideSnapshotRequest(SnapshotRequestState state,
                                              const ConfigState& config,
                                              bool ready,
                                              LogOffset peer_offset,
                                              TimePoint now);

}  // namespace toucanhollow

#endif  // CONFIG_SNAPSHOT_REQUEST_H_
