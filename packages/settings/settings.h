// The settings of one process, read once at startup.
#ifndef SETTINGS_SETTINGS_H_
#define SETTINGS_SETTINGS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/name.h"
#include "base/time.h"

namespace toucanhollow {

enum class Role { kEntryHost, kEndpoint };

enum class BackEndKind { kEngine, kService };

enum class LogLevel { kDebug, kInfo, kWarning, kError };

struct LimitSettings {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 1024 * 1024;
  std::size_t connections = 4096;
  Duration caller_timeout = Seconds(10);  // time to send a complete request
  Duration idle_timeout = Seconds(60);
  Duration default_deadline = Seconds(60);
  std::size_t account_queue = 256;  // queued requests per account

  bool operator==(const LimitSettings&) const = default;
};

struct BackEndSettings {
  EndpointName endpoint;
  BackEndKind kind = BackEndKind::kEngine;
  ServiceName service;
  Address address;
  // Ranks of its group's expert map that this endpoint's engine serves.
  std::vector<int> ranks;

  bool operator==(const BackEndSettings&) const = default;
};

struct Settings {
  ProcessName process;
  Role role = Role::kEntryHost;
  DataCentreName data_centre;
  std::string region;
  Address http;  // callers, operators and metrics scrapers
  // Listening address for links from other processes of the load balancer:
  // agents accept entry hosts, and entry hosts accept their peers.
  Address link;
  Address platform_log;
  std::optional<Address> host_list;
  std::optional<Address> weight_store;
  std::vector<Address> peers;  // peer links; source of startup snapshots
  std::optional<BackEndSettings> back_end;  // only for Role::kEndpoint
  LimitSettings limits;
  Duration balancer_lag = Seconds(2);  // from SIGTERM to closing the listener
  Duration drain_timeout = Seconds(300);
  Duration key_memory = std::chrono::hours(24);
  LogLevel log_level = LogLevel::kInfo;
  std::size_t timeline_events = 65536;
  std::string timeline_file;  // empty: events are kept in memory only
  std::string shared_key;     // empty: links are not authenticated

  bool operator==(const Settings&) const = default;
};

}  // namespace toucanhollow

#endif  // SETTINGS_SETTINGS_H_
