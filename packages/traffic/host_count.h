// HostCount: the number of entry hosts that share a bound, as far as one host
// can tell.
//
// A host that takes the others to be fewer than they are uses too large a share
// of the bound. Hosts that have just started know few others, and a host that
// is cut off hears none.
#ifndef TRAFFIC_HOST_COUNT_H_
#define TRAFFIC_HOST_COUNT_H_

#include <optional>

#include "base/time.h"

namespace toucanhollow {

// For this long after its start, a host does not know how many others there
// are. If all hosts start at once, the first lists that they exchange are
// short.
inline constexpr Duration kHostDiscoveryTime = Seconds(10);

struct HostCount {
  TimePoint started_at;
  // There are addresses of other hosts in the settings.
  bool expects_others = false;
  // The most hosts that were heard of at one time, this one included.
  int most_heard = 1;

  bool operator==(const HostCount&) const = default;
};

// `hosts` is the number of hosts that are heard of now, this one included.
HostCount RecordHosts(const HostCount& count, int hosts);

// The number of hosts that share the bounds: the most that were heard of, since
// hosts that are silent may be cut off and still send. Empty while it is not
// known.
std::optional<int> FindHostCount(const HostCount& count, TimePoint now);

}  // namespace toucanhollow

#endif  // TRAFFIC_HOST_COUNT_H_
