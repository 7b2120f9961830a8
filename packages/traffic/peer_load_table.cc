#include "traffic/peer_load_table.h"

#include <algorithm>
#include <tuple>

namespace toucanhollow {
namespace {

void AddLoads(PeerLoadTable& table, const HostLoadReport& report, int sign) {
  for (const ServerLoad& load : report.loads) {
    LoadSum& sum = table.sums[load.server];
    sum.outstanding += sign * std::int64_t{load.outstanding};
    sum.pending_prompt_tokens +=
        sign * std::int64_t{load.pending_prompt_tokens};
    if (sum == LoadSum{}) {
      table.sums.erase(load.server);
    }
  }
}

int ClampLoad(std::int64_t load) {
  return static_cast<int>(std::clamp<std::int64_t>(load, 0, kMaxFoundLoad));
}

}  // namespace

void RecordLoadReport(PeerLoadTable& table,
                      const std::string& host,
                      const HostLoadReport& report,
                      TimePoint now) {
  PeerLoadTable::Entry& entry = table.hosts[host];
  // The clock of a host may have been set back before it started again.
  const bool is_current = now - entry.received_at <= kReportLifetime;
  if (is_current &&
      std::tie(report.incarnation, report.sequence) <=
          std::tie(entry.report.incarnation, entry.report.sequence)) {
    return;
  }
  AddLoads(table, entry.report, -1);
  entry = {report, now};
  AddLoads(table, entry.report, 1);
}

void ExpireLoadReports(PeerLoadTable& table, TimePoint now) {
  for (auto& [host, entry] : table.hosts) {
    if (now - entry.received_at > kReportLifetime &&
        !entry.report.loads.empty()) {
      AddLoads(table, entry.report, -1);
      entry.report.loads.clear();
    }
  }
}

std::set<std::uint32_t> SlowServers(const PeerLoadTable& table, TimePoint now) {
  std::set<std::uint32_t> slow;
  for (const auto& [host, entry] : table.hosts) {
    if (now - entry.received_at <= kReportLifetime) {
      slow.insert(entry.report.slow_servers.begin(),
                  entry.report.slow_servers.end());
    }
  }
  return slow;
}

std::optional<IssuingHost> FindIssuingHost(const PeerLoadTable& table,
                                           TimePoint now) {
  std::optional<IssuingHost> latest;
  for (const auto& [host, entry] : table.hosts) {
    const StorePosition generation = entry.report.issuer_generation;
    if (generation > (latest ? latest->generation : StorePosition{}) &&
        now - entry.received_at <= kReportLifetime) {
      latest = {host, generation};
    }
  }
  return latest;
}

ServerLoad FindServerLoad(const PeerLoadTable& table, std::uint32_t server) {
  const auto found = table.sums.find(server);
  if (found == table.sums.end()) {
    return {server, 0, 0};
  }
  return {server, ClampLoad(found->second.outstanding),
          ClampLoad(found->second.pending_prompt_tokens)};
}

}  // namespace toucanhollow
