#include "config/plan_refresh.h"

#include <algorithm>
#include <cstdint>
#include <string>

#include "base/hash.h"

namespace toucanhollow {
namespace {

// Subjects are hashed into 16 groups. The subjects of a group become due at the
// same host, so that one entry holds many of them.
constexpr std::uint64_t kRefreshGroups = 16;

std::string GetRefreshGroup(const ConfigSubject& subject) {
  const std::uint64_t group =
      HashText(subject.kind + "/" + subject.name) % kRefreshGroups;
  return "refresh-" + std::to_string(group);
}

// The number of hosts that precede `self` in rendezvous order for the subject.
std::int64_t GetRefreshRank(const ProcessName& self,
                            std::span<const ProcessName> hosts,
                            const ConfigSubject& subject) {
  const std::string group = GetRefreshGroup(subject);
  const std::uint64_t own = RendezvousScore(group, self.value);
  return std::ranges::count_if(hosts, [&](const ProcessName& host) {
    return RendezvousScore(group, host.value) > own;
  });
}

}  // namespace

RefreshPlan PlanRefresh(const ConfigState& state,
                        const RefreshLogStatus& log,
                        const ProcessName& self,
                        std::span<const ProcessName> hosts,
                        WallTime now) {
  RefreshPlan plan;
  if (!log.healthy || state.next_offset <= log.end) {
    return plan;
  }
  const Duration step = log.retention / kRefreshStaggerDivisor;
  for (const auto& [name, subject] : state.subjects) {
    const LogOffset as_of = KnownAsOf(state, name);
    if (!subject.copies.latest || as_of < state.next_offset - 1) {
      continue;
    }
    const WallTime due = subject.copies_written_at +
                         log.retention / kRefreshRetentionDivisor +
                         GetRefreshRank(self, hosts, name) * step;
    if (due <= now && plan.refresh.subjects.size() < kMaxRefreshSubjects) {
      plan.refresh.subjects.push_back({name, as_of, subject.copies});
    } else if (!plan.next || due < *plan.next) {
      plan.next = due;
    }
  }
  return plan;
}

}  // namespace toucanhollow
