// Hybrid logical clock: orders events of different processes so that a cause
// always comes before its effect, even where the hosts' clocks differ.
#ifndef TIMELINE_HYBRID_TIME_H_
#define TIMELINE_HYBRID_TIME_H_

#include <compare>
#include <cstdint>

#include "base/time.h"

namespace toucanhollow {

struct HybridTime {
  // Largest wall time known so far, in microseconds since the Unix epoch.
  std::int64_t wall_us = 0;
  // Counts events that share wall_us.
  std::uint32_t counter = 0;

  bool operator==(const HybridTime&) const = default;
  auto operator<=>(const HybridTime&) const = default;
};

// The time of a local event or of a message to be sent: later than `last` and
// not before the host's clock.
HybridTime Stamp(HybridTime last, WallTime now);

// The time after receiving a message stamped `remote`: later than both. A
// remote clock more than 60 s ahead is ignored, so that one broken clock does
// not move every other process.
HybridTime Receive(HybridTime last, HybridTime remote, WallTime now);

}  // namespace toucanhollow

#endif  // TIMELINE_HYBRID_TIME_H_
