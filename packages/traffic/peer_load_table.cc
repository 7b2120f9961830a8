#include "traffic/peer_load_table.h"

#include <tuple>

namespace toucanhollow {
namespace {

void AddLoads(PeerLoadTable& table, const HostLoadReport& report, int sign) {
  for (const ServerLoad& load : report.loads) {
    ServerLoad& sum = table.sums[load.server];
    sum.server = load.server;
    sum.outstanding += sign * load.outstanding;
    sum.pending_prompt_tokens += sign * load.pending_prompt_tokens;
    if (sum.outstanding == 0 && sum.pending_prompt_tokens == 0) {
      table.sums.erase(load.server);
    }
  }
}

}  // namespace

void RecordLoadReport(PeerLoadTable& table,
                      const std::string& host,
                      const HostLoadReport& report,
                      TimePoint now) {
  PeerLoadTable::Entry& entry = table.hosts[host];
  if (std::tie(report.incarnation, report.sequence) <=
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
    const std::int64_t generation = entry.report.issuer_generation;
    if (generation > (latest ? latest->generation : 0) &&
        now - entry.received_at <= kReportLifetime) {
      latest = {host, generation};
    }
  }
  return latest;
}

ServerLoad FindServerLoad(const PeerLoadTable& table, std::uint32_t server) {
  const auto found = table.sums.find(server);
  return found == table.sums.end() ? ServerLoad{server, 0, 0} : found->second;
}

}  // namespace toucanhollow
