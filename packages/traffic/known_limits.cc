#include "traffic/known_limits.h"

#include <algorithm>

namespace toucanhollow {
namespace {

// True if `left` is known to have started before `right`.
bool StartedBefore(std::int64_t left, std::int64_t right) {
  return left != 0 && right != 0 && left < right;
}

bool IsCurrent(const KnownLimit& known, TimePoint now) {
  return now - known.stated_at <= kKnownLimitLifetime;
}

void Merge(KnownLimit& known,
           std::int64_t start_time_ms,
           const ServerLimit& statement,
           TimePoint now) {
  known.limit = LaterLimit(known.limit, statement);
  known.stated_at = now;
  if (start_time_ms != 0) {
    known.start_time_ms = start_time_ms;
  }
}

void DropLeastRecentlyStated(KnownLimits& known) {
  if (known.by_server.size() > known.max_servers) {
    known.by_server.erase(std::ranges::min_element(
        known.by_server, {},
        [](const auto& entry) { return entry.second.stated_at; }));
  }
}

}  // namespace

void MergeLimit(KnownLimits& known,
                std::uint32_t server,
                std::int64_t start_time_ms,
                const std::optional<ServerLimit>& statement,
                TimePoint now) {
  auto entry = known.by_server.find(server);
  if (entry != known.by_server.end() &&
      (StartedBefore(entry->second.start_time_ms, start_time_ms) ||
       !IsCurrent(entry->second, now))) {
    known.by_server.erase(entry);
    entry = known.by_server.end();
  }
  if (!statement) {
    return;
  }
  if (entry == known.by_server.end()) {
    // Without a limit that it could end, a withdrawal says nothing.
    if (IsNamed(statement)) {
      known.by_server[server] = {start_time_ms, *statement, now};
      DropLeastRecentlyStated(known);
    }
    return;
  }
  if (!StartedBefore(start_time_ms, entry->second.start_time_ms)) {
    Merge(entry->second, start_time_ms, *statement, now);
  }
}

void MergeEngineLimit(KnownLimits& known,
                      std::int64_t start_time_ms,
                      const ServerLimit& statement,
                      TimePoint now) {
  // The agent asks the process itself, so another start is a new process, even
  // after the clock was set back.
  if (!known.engine || known.engine->start_time_ms != start_time_ms) {
    known.engine = {start_time_ms, statement, now};
    known.engine_reports_limit = IsNamed(statement);
    return;
  }
  known.engine_reports_limit = known.engine_reports_limit || IsNamed(statement);
  Merge(*known.engine, start_time_ms, statement, now);
}

std::optional<ServerLimit> FindLimit(const KnownLimits& known,
                                     std::uint32_t server,
                                     std::int64_t start_time_ms,
                                     TimePoint now) {
  std::optional<ServerLimit> found;
  std::int64_t engine_start = 0;
  if (known.engine && IsCurrent(*known.engine, now) &&
      !StartedBefore(known.engine->start_time_ms, start_time_ms)) {
    engine_start = known.engine->start_time_ms;
    if (known.engine_reports_limit) {
      found = known.engine->limit;
    }
  }
  const auto entry = known.by_server.find(server);
  if (entry != known.by_server.end() && IsCurrent(entry->second, now) &&
      !StartedBefore(entry->second.start_time_ms, engine_start)) {
    found =
        found ? LaterLimit(*found, entry->second.limit) : entry->second.limit;
  }
  return IsNamed(found) ? found : std::nullopt;
}

}  // namespace toucanhollow
