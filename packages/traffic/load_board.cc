#include "traffic/load_board.h"

#include <tuple>

namespace toucanhollow {
namespace {

void Add(LoadBoard& board, const HostLoadReport& report, int sign) {
  for (const ServerLoad& load : report.loads) {
    ServerLoad& sum = board.sums[load.server];
    sum.server = load.server;
    sum.outstanding += sign * load.outstanding;
    sum.unread_tokens += sign * load.unread_tokens;
    if (sum.outstanding == 0 && sum.unread_tokens == 0) {
      board.sums.erase(load.server);
    }
  }
}

}  // namespace

void TakeReport(LoadBoard& board,
                const std::string& host,
                const HostLoadReport& report,
                TimePoint now) {
  LoadBoard::Entry& entry = board.hosts[host];
  if (std::tie(report.incarnation, report.sequence) <=
      std::tie(entry.report.incarnation, entry.report.sequence)) {
    return;
  }
  Add(board, entry.report, -1);
  entry = {report, now};
  Add(board, entry.report, 1);
}

void DropSilentHosts(LoadBoard& board, TimePoint now) {
  for (auto& [host, entry] : board.hosts) {
    if (now - entry.received_at > kReportLifetime &&
        !entry.report.loads.empty()) {
      Add(board, entry.report, -1);
      entry.report.loads.clear();
    }
  }
}

std::set<std::uint32_t> SlowServers(const LoadBoard& board, TimePoint now) {
  std::set<std::uint32_t> slow;
  for (const auto& [host, entry] : board.hosts) {
    if (now - entry.received_at <= kReportLifetime) {
      slow.insert(entry.report.slow_servers.begin(),
                  entry.report.slow_servers.end());
    }
  }
  return slow;
}

ServerLoad LoadOf(const LoadBoard& board, std::uint32_t server) {
  const auto found = board.sums.find(server);
  return found == board.sums.end() ? ServerLoad{server, 0, 0} : found->second;
}

}  // namespace toucanhollow
