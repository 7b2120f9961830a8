// LoadBoard: the requests that each entry host has at each server, as the
// hosts tell each other.
#ifndef TRAFFIC_LOAD_BOARD_H_
#define TRAFFIC_LOAD_BOARD_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"

namespace toucanhollow {

struct ServerLoad {
  // Hash of the server's id, which keeps reports short.
  std::uint32_t server = 0;
  int outstanding = 0;
  int unread_tokens = 0;

  bool operator==(const ServerLoad&) const = default;
};

struct HostLoadReport {
  // Wall-clock start of the sender; a later run replaces an earlier one.
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::vector<ServerLoad> loads;
  // Ranks that hold up their model group, as a coordinator sees them; hashes of
  // the servers' ids.
  std::vector<std::uint32_t> slow_servers = {};

  bool operator==(const HostLoadReport&) const = default;
};

struct LoadBoard {
  struct Entry {
    HostLoadReport report;
    TimePoint received_at;

    bool operator==(const Entry&) const = default;
  };
  std::map<std::string, Entry> hosts;
  // Sums over the reports, by server.
  std::map<std::uint32_t, ServerLoad> sums;

  bool operator==(const LoadBoard&) const = default;
};

// A host that has been silent this long has probably ended, and its requests
// with it. Reports come at least every 500 ms.
inline constexpr Duration kReportLifetime = Milliseconds(1600);

// Takes a report; older ones than the newest of this host are ignored.
void TakeReport(LoadBoard& board,
                const std::string& host,
                const HostLoadReport& report,
                TimePoint now);

// Drops silent hosts.
void DropSilentHosts(LoadBoard& board, TimePoint now);

// Servers that some host says are slow.
std::set<std::uint32_t> SlowServers(const LoadBoard& board, TimePoint now);

// The work that other hosts have at the server.
ServerLoad LoadOf(const LoadBoard& board, std::uint32_t server);

}  // namespace toucanhollow

#endif  // TRAFFIC_LOAD_BOARD_H_
