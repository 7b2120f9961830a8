// Decides which subjects this entry host appends to the log again, and when, so
// that subjects outlast the log's retention without an elected writer.
#ifndef CONFIG_PLAN_REFRESH_H_
#define CONFIG_PLAN_REFRESH_H_

#include <optional>
#include <span>

#include "base/name.h"
#include "base/time.h"
#include "config/config_fold.h"

namespace toucanhollow {

// A subject is due for a refresh when its copy in the log is older than the
// retention divided by this. The other three quarters of the retention are left
// for outages of the log.
constexpr int kRefreshRetentionDivisor = 4;
// Each rendezvous rank waits the retention divided by this longer than the rank
// before it, so that it usually reads that rank's refresh first.
constexpr int kRefreshStaggerDivisor = 256;

struct RefreshLogStatus {
  // The log is reachable and the last append took less than 1 s.
  bool healthy = false;
  // The offset of the last entry. A process that has not read up to it does
  // not refresh, since the unread entries may hold a newer copy.
  LogOffset end = 0;
  Duration retention{};

  bool operator==(const RefreshLogStatus&) const = default;
};

struct RefreshPlan {
  // The subjects to append now as one entry; empty if none is due.
  ConfigRefresh refresh;
  // When the next subject is due, if one is known.
  std::optional<WallTime> next;

  bool operator==(const RefreshPlan&) const = default;
};

// `hosts` are the entry hosts that are alive, including `self`. Removed
// subjects are refreshed as well: without the record of their removal, a late
// copy would restore them.
RefreshPlan PlanRefresh(const ConfigState& state,
                        const RefreshLogStatus& log,
                        const ProcessName& self,
                        std::span<const ProcessName> hosts,
                        WallTime now);

}  // namespace toucanhollow

#endif  // CONFIG_PLAN_REFRESH_H_
