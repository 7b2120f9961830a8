// KnownLimits: what a permit issuer knows of the limits that servers name.
#ifndef TRAFFIC_KNOWN_LIMITS_H_
#define TRAFFIC_KNOWN_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "base/time.h"
#include "traffic/server_limit.h"

namespace toucanhollow {

// A limit that no host has stated for this long is forgotten: the hosts that
// knew it may have ended before it was withdrawn. One that is still in force is
// stated with each request for a permit.
inline constexpr Duration kKnownLimitLifetime = Seconds(60);

struct KnownLimit {
  // Of the server's process, in Unix ms; 0 if it is not known. Each process has
  // limits of its own.
  std::int64_t start_time_ms = 0;
  ServerLimit limit;
  TimePoint stated_at;

  bool operator==(const KnownLimit&) const = default;
};

struct KnownLimits {
  // Beyond this, the one that was stated the longest ago is forgotten.
  std::size_t max_servers = 64;
  std::map<std::uint32_t, KnownLimit> by_server;  // hash of the server's id
  // By the reports of the engine beside the issuer. Its id is not known.
  std::optional<KnownLimit> engine;
  // The reports of that process of the engine have named a limit. Those of
  // another one may not, whatever its answers to requests name.
  bool engine_reports_limit = false;

  bool operator==(const KnownLimits&) const = default;
};

// Merges what a host that asks for a permit knows of the server: the start of
// its process, 0 if it does not tell, and the latest statement, if any.
void MergeLimit(KnownLimits& known,
                std::uint32_t server,
                std::int64_t start_time_ms,
                const std::optional<ServerLimit>& statement,
                TimePoint now);

// Merges the statement of an engine's report.
void MergeEngineLimit(KnownLimits& known,
                      std::int64_t start_time_ms,
                      const ServerLimit& statement,
                      TimePoint now);

// The limit of the server whose process the asking host takes to have started
// at `start_time_ms`; empty if none is in force.
std::optional<ServerLimit> FindLimit(const KnownLimits& known,
                                     std::uint32_t server,
                                     std::int64_t start_time_ms,
                                     TimePoint now);

}  // namespace toucanhollow

#endif  // TRAFFIC_KNOWN_LIMITS_H_
