// ServerLimit: the rate of requests that a server takes from all hosts
// together, as its answers name it.
//
// Each host sees its own answers, and answers may overtake each other. Hosts
// and permit issuers therefore keep the latest statement that they know of, and
// pass it on with its age.
#ifndef TRAFFIC_SERVER_LIMIT_H_
#define TRAFFIC_SERVER_LIMIT_H_

#include <optional>
#include <string_view>

#include "base/time.h"
#include "traffic/permit_ledger.h"

namespace toucanhollow {

enum class LimitFieldKind { kAbsent, kNamed, kMalformed };

// What the head of one answer says of the server's limit.
struct LimitField {
  LimitFieldKind kind = LimitFieldKind::kAbsent;
  double per_s = 0;  // of kNamed

  bool operator==(const LimitField&) const = default;
};

// Higher limits are taken for this one.
inline constexpr double kMaxServerLimitPerS = 1e6;

enum class ServerLimitKind { kNamed, kWithdrawn };

struct ServerLimit {
  ServerLimitKind kind = ServerLimitKind::kWithdrawn;
  double per_s = 0;  // requests per second of kNamed
  // Of kNamed: when the answer arrived. Of kWithdrawn: when the request was
  // written whose answer named no limit. So a withdrawal that was sent before
  // the last naming arrived does not end it.
  TimePoint at;

  bool operator==(const ServerLimit&) const = default;
};

// What an answer states; nothing if its field is malformed.
std::optional<ServerLimit> FindStatement(const LimitField& field,
                                         TimePoint written_at,
                                         TimePoint received_at);

// The later statement. Of two at the same time, a named limit and the lower one
// count.
ServerLimit LaterLimit(const ServerLimit& left, const ServerLimit& right);

// A statement as it is sent to other processes, whose clocks differ.
struct AgedLimit {
  ServerLimitKind kind = ServerLimitKind::kWithdrawn;
  double per_s = 0;
  // Time since ServerLimit::at.
  Duration age{0};

  bool operator==(const AgedLimit&) const = default;
};

// Older statements are sent as if they had this age.
inline constexpr Duration kMaxLimitAge = Seconds(24 * 3600);

// False for what no process sends.
bool IsPlausible(const AgedLimit& limit);

AgedLimit AgeLimit(const ServerLimit& limit, TimePoint now);
ServerLimit DateLimit(const AgedLimit& limit, TimePoint now);

// A server that takes next to nothing still gets this many requests per second,
// so that it can withdraw its limit.
inline constexpr double kMinLimitPerS = 0.2;

// The bucket holds the permits of this time, and at least one.
inline constexpr Duration kLimitBurstTime = Milliseconds(500);

// The rate of permits for a server with this limit. All permits that are used
// in 4 s come from 4 s and kPermitLifetime, so they are at most 4.75 times the
// limit, or two if the limit is below kMinLimitPerS.
PermitRate FindLimitRate(double per_s);

bool IsNamed(const std::optional<ServerLimit>& limit);

// True if both allow the same rate, whenever they were made.
bool IsSameLimit(const std::optional<ServerLimit>& left,
                 const std::optional<ServerLimit>& right);

// True if a line on a malformed field is due, the last one having been written
// at `logged_at`.
bool IsMalformedLimitLogDue(std::optional<TimePoint> logged_at, TimePoint now);

// The kind with this number in messages; nothing if there is none.
std::optional<ServerLimitKind> ToLimitKind(int number);

// For logs: "named" or "withdrawn".
std::string_view LimitKindName(ServerLimitKind kind);

}  // namespace toucanhollow

#endif  // TRAFFIC_SERVER_LIMIT_H_
