#include "timeline/hybrid_time.h"

#include <algorithm>

namespace toucanhollow {
namespace {

constexpr Duration kMaxClockLead = Seconds(60);

}  // namespace

HybridTime NextLocalTime(HybridTime last, WallTime now) {
  const std::int64_t wall_us = now.time_since_epoch().count();
  if (wall_us > last.wall_us) {
    return {wall_us, 0};
  }
  return {last.wall_us, last.counter + 1};
}

HybridTime MergeRemoteTime(HybridTime last, HybridTime remote, WallTime now) {
  const std::int64_t limit_us =
      (now + kMaxClockLead).time_since_epoch().count();
  if (remote.wall_us > limit_us) {
    return NextLocalTime(last, now);
  }
  return NextLocalTime(std::max(last, remote), now);
}

}  // namespace toucanhollow
