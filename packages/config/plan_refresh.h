// When and what this entry host appends again, so that live subjects outlast
// the log's retention without an elected writer.
#ifndef CONFIG_PLAN_REFRESH_H_
#define CONFIG_PLAN_REFRESH_H_

#include <optional>
#include <span>

#include "base/name.h"
#include "base/time.h"
#include "config/config_fold.h"

namespace toucanhollow {

// Subjects are due when their youngest copy is older than this part of the
// retention, which leaves three more parts for outages of the log.
constexpr int kRefreshRetentionDivisor = 4;
// Each rendezvous rank waits this part of the retention longer than the rank
// before it, so that the lower rank's refresh is usually read first.
constexpr int kRefreshStaggerDivisor = 256;

struct RefreshLogStatus {
  // Reachable, with the last append under 1 s.
  bool healthy = false;
  // The offset of the last entry. A process that has not read up to it does
  // not refresh, since a younger copy may stand there.
  LogOffset end = 0;
  Duration retention{};

  bool operator==(const RefreshLogStatus&) const = default;
};

struct RefreshPlan {
  // To be appended now as one entry; empty if nothing is due.
  ConfigRefresh refresh;
  // When the next subject is due, if one is known.
  std::optional<WallTime> next;

  bool operator==(const RefreshPlan&) const = default;
};

// `hosts` are the entry hosts that are alive, `self` among them. Removed
// subjects are refreshed as well: without their removal, a late copy would
// bring them back.
RefreshPlan PlanRefresh(const ConfigState& state,
                        const RefreshLogStatus& log,
                        const ProcessName& self,
                        std::span<const ProcessName> hosts,
                        WallTime now);

}  // namespace toucanhollow

#endif  // CONFIG_PLAN_REFRESH_H_
