#include "traffic/host_count.h"

#include <algorithm>

namespace toucanhollow {

HostCount RecordHosts(const HostCount& count, int hosts) {
  HostCount next = count;
  next.most_heard = std::max(next.most_heard, hosts);
  return next;
}

std::optional<int> FindHostCount(const HostCount& count, TimePoint now) {
  const bool is_discovering = now - count.started_at < kHostDiscoveryTime;
  const bool is_cut_off = count.expects_others && count.most_heard == 1;
  if (is_discovering || is_cut_off) {
    return std::nullopt;
  }
  return count.most_heard;
}

}  // namespace toucanhollow
