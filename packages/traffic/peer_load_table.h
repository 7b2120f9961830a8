// PeerLoadTable: the load that each entry host puts on each server, as the
// hosts report it to each other.
#ifndef TRAFFIC_PEER_LOAD_TABLE_H_
#define TRAFFIC_PEER_LOAD_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/store_position.h"
#include "base/time.h"
#include "traffic/server_limit.h"

namespace toucanhollow {

struct ServerLoad {
  // Hash of the server's id, which keeps reports short.
  std::uint32_t server = 0;
  int outstanding = 0;
  int pending_prompt_tokens = 0;

  bool operator==(const ServerLoad&) const = default;
};

// What a host has learned of a server's limit from an answer to itself.
struct ReportedLimit {
  std::uint32_t server = 0;  // hash of the server's id
  // Start of the server's process, in Unix ms.
  std::int64_t start_time_ms = 0;
  AgedLimit limit;

  bool operator==(const ReportedLimit&) const = default;
};

struct HostLoadReport {
  // Start of the sending process by the wall clock; reports of a later run
  // replace those of an earlier one.
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::vector<ServerLoad> loads;
  // Hashes of the ids of servers whose ranks slow down their model group, as
  // determined by a coordinator.
  std::vector<std::uint32_t> slow_servers = {};
  // Of what the host knows of crashes; 0 if it knows of none.
  std::uint32_t quarantine_digest = 0;
  // IssuingGeneration of the host.
  StorePosition issuer_generation = {};
  // At most kMaxReportedLimits.
  std::vector<ReportedLimit> limits = {};

  bool operator==(const HostLoadReport&) const = default;
};

// Keeps reports within one datagram.
inline constexpr std::size_t kMaxReportedLimits = 128;

// The sums of the loads that several hosts put on one server.
struct LoadSum {
  std::int64_t outstanding = 0;
  std::int64_t pending_prompt_tokens = 0;

  bool operator==(const LoadSum&) const = default;
};

struct PeerLoadTable {
  struct Entry {
    HostLoadReport report;
    TimePoint received_at;

    bool operator==(const Entry&) const = default;
  };
  std::map<std::string, Entry> hosts;
  // Sums over the reports, by server.
  std::map<std::uint32_t, LoadSum> sums;

  bool operator==(const PeerLoadTable&) const = default;
};

// A host that has not reported for this long has probably stopped, and its
// requests with it. Hosts report at least every 500 ms.
inline constexpr Duration kReportLifetime = Milliseconds(1600);

// Stores a report, unless a newer one of this host has been stored in the last
// kReportLifetime.
void RecordLoadReport(PeerLoadTable& table,
                      const std::string& host,
                      const HostLoadReport& report,
                      TimePoint now);

// Removes the load of hosts that have not reported for kReportLifetime.
void ExpireLoadReports(PeerLoadTable& table, TimePoint now);

// Servers that any current report lists as slow.
std::set<std::uint32_t> SlowServers(const PeerLoadTable& table, TimePoint now);

struct IssuingHost {
  std::string host;
  StorePosition generation;

  bool operator==(const IssuingHost&) const = default;
};

// The host that announces the latest generation as an issuer of permits in a
// current report.
std::optional<IssuingHost> FindIssuingHost(const PeerLoadTable& table,
                                           TimePoint now);

// Far above any load, and small enough for a sum with a load of this host.
inline constexpr int kMaxFoundLoad = 1'000'000'000;

// The load that other hosts put on the server, at most kMaxFoundLoad each; zero
// if none reports any.
ServerLoad FindServerLoad(const PeerLoadTable& table, std::uint32_t server);

}  // namespace toucanhollow

#endif  // TRAFFIC_PEER_LOAD_TABLE_H_
