// ServerQuiet: what a host believes of a server that turned a request away and
// named a time for which it wants no more of them from this host.
#ifndef TRAFFIC_SERVER_QUIET_H_
#define TRAFFIC_SERVER_QUIET_H_

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace toucanhollow {

enum class QuietFieldKind { kAbsent, kNamed, kMalformed };

// What the head of one refusal names.
struct QuietField {
  QuietFieldKind kind = QuietFieldKind::kAbsent;
  Duration time{0};  // of kNamed, at most kMaxQuietTime

  bool operator==(const QuietField&) const = default;
};

// Longer times count as this one.
inline constexpr Duration kMaxQuietTime = Seconds(24 * 3600);

// The time in this number of seconds, not negative.
Duration QuietTime(double seconds);

// Ends by itself, or with the server's process. The clock counts the time for
// which the host's machine is suspended.
struct ServerQuiet {
  BootTime until;

  bool operator==(const ServerQuiet&) const = default;
};

// The belief after an answer that arrives now. A shorter time does not end a
// longer one.
std::optional<ServerQuiet> RecordQuiet(const std::optional<ServerQuiet>& belief,
                                       const QuietField& field,
                                       BootTime now);

// How long the server wants no requests from now on; zero if it takes some.
Duration RemainingQuiet(const std::optional<ServerQuiet>& belief, BootTime now);

// When callers are to return whose servers take no requests for `remaining`.
// `draw` is random: they return over a time of half of that, at least 0.3 s and
// at most 1.5 s, rather than all at once.
Duration SpreadReturn(Duration remaining, std::uint64_t draw);

}  // namespace toucanhollow

#endif  // TRAFFIC_SERVER_QUIET_H_
