// Hybrid logical clock: orders the events of different processes so that a
// cause always comes before its effect, even if the hosts' clocks differ.
#ifndef TIMELINE_HYBRID_TIME_H_
#define TIMELINE_HYBRID_TIME_H_

#include <compare>
#include <cstdint>

#include "base/time.h"

namespace toucanhollow {

struct HybridTime {
  // Largest wall time known so far, in microseconds since the Unix epoch.
  std::int64_t wall_us = 0;
  // Orders events with the same wall_us.
  std::uint32_t counter = 0;

  bool operator==(const HybridTime&) const = default;
  auto operator<=>(const HybridTime&) const = default;
};

// Returns the time of a local event or of a message to be sent: later than
// `last` and not earlier than the host's clock.
HybridTime NextLocalTime(HybridTime last, WallTime now);

// Returns the time after receiving a message with the timestamp `remote`: later
// than both `last` and `remote`. A remote time more than 60 s ahead of `now` is
// ignored, so that one wrong clock does not advance the clocks of all other
// processes.
HybridTime MergeRemoteTime(HybridTime last, HybridTime remote, WallTime now);

}  // namespace toucanhollow

#endif  // TIMELINE_HYBRID_TIME_H_
