// When a process asks a peer for what it knows of the configuration.
#ifndef CONFIG_SNAPSHOT_REQUEST_H_
#define CONFIG_SNAPSHOT_REQUEST_H_

#include <optional>

#include "base/log_entry.h"
#include "base/time.h"
#include "config/config_fold.h"

namespace toucanhollow {

struct SnapshotRequestState {
  // Since when this process has known less than a peer.
  std::optional<TimePoint> behind_since;
  std::optional<TimePoint> last_request;

  bool operator==(const SnapshotRequestState&) const = default;
};

struct SnapshotRequestDecision {
  SnapshotRequestState state;
  bool request_snapshot = false;

  bool operator==(const SnapshotRequestDecision&) const = default;
};

// To be called with the offset that a peer's heartbeat reports. `ready` is
// whether this process has any configuration.
SnapshotRequestDecision DecideSnapshotRequest(SnapshotRequestState state,
                                              const ConfigState& config,
                                              bool ready,
                                              LogOffset peer_offset,
                                              TimePoint now);

}  // namespace toucanhollow

#endif  // CONFIG_SNAPSHOT_REQUEST_H_
