// The settings of one process, read once at start.
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
  Duration caller_timeout = Seconds(10);  // time to send a whole request
  Duration idle_timeout = Seconds(60);
  Duration default_deadline = Seconds(60);
  std::size_t account_queue = 256;  // requests waiting for each account

  bool operator==(const LimitSettings&) const = default;
};

struct BackEndSettings {
  EndpointName endpoint;
  BackEndKind kind = BackEndKind::kEngine;
  ServiceName service;
  Address address;
  // Ranks that this endpoint's engine holds in its group's expert map.
  std::vector<int> ranks;

  bool operator==(const BackEndSettings&) const = default;
};

struct Settings {
  ProcessName process;
  Role role = Role::kEntryHost;
  DataCentreName data_centre;
  std::string region;
  Address http;  // callers, operators and scrapers
  Address link;  // own processes; agents listen, entry hosts too for peers
  Address platform_log;
  std::optional<Address> host_list;
  std::optional<Address> weight_store;
  std::vector<Address> peers;  // links of peers, for snapshots at start
  std::optional<BackEndSettings> back_end;  // only for the role endpoint
  LimitSettings limits;
  Duration balancer_lag = Seconds(2);  // SIGTERM to closing the listener
  Duration drain_timeout = Seconds(300);
  Duration key_memory = std::chrono::hours(24);
  LogLevel log_level = LogLevel::kInfo;
  std::size_t timeline_events = 65536;
  std::string timeline_file;  // empty: memory only
  std::string shared_key;     // empty: links are not guarded

  bool operator==(const Settings&) const = default;
};

}  // namespace toucanhollow

#endif  // SETTINGS_SETTINGS_H_
