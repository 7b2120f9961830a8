#include "traffic/server_limit.h"

#include <algorithm>

namespace toucanhollow {
namespace {

constexpr Duration kMalformedLimitLogPeriod = Seconds(10);

}  // namespace

std::optional<ServerLimit> FindStatement(const LimitField& field,
                                         TimePoint written_at,
                                         TimePoint received_at) {
  switch (field.kind) {
    case LimitFieldKind::kAbsent:
      return ServerLimit{ServerLimitKind::kWithdrawn, 0, written_at};
    case LimitFieldKind::kNamed:
      return ServerLimit{ServerLimitKind::kNamed,
                         std::clamp(field.per_s, 0.0, kMaxServerLimitPerS),
                         received_at};
    case LimitFieldKind::kMalformed:
      break;
  }
  return std::nullopt;
}

ServerLimit LaterLimit(const ServerLimit& left, const ServerLimit& right) {
  if (left.at != right.at) {
    return left.at > right.at ? left : right;
  }
  if (left.kind != right.kind) {
    return left.kind == ServerLimitKind::kNamed ? left : right;
  }
  return left.per_s <= right.per_s ? left : right;
}

bool IsPlausible(const AgedLimit& limit) {
  return limit.per_s >= 0 && limit.per_s <= kMaxServerLimitPerS &&
         limit.age >= Duration(0) && limit.age <= kMaxLimitAge;
}

AgedLimit AgeLimit(const ServerLimit& limit, TimePoint now) {
  return {limit.kind, limit.per_s,
          std::clamp(now - limit.at, Duration(0), kMaxLimitAge)};
}

ServerLimit DateLimit(const AgedLimit& limit, TimePoint now) {
  return {limit.kind, limit.per_s, now - limit.age};
}

PermitRate FindLimitRate(double per_s) {
  const double rate = std::clamp(per_s, kMinLimitPerS, kMaxServerLimitPerS);
  const double burst_s = std::chrono::duration<double>(kLimitBurstTime).count();
  return {rate, std::max(rate * burst_s, 1.0)};
}

bool IsNamed(const std::optional<ServerLimit>& limit) {
  return limit && limit->kind == ServerLimitKind::kNamed;
}

bool IsSameLimit(const std::optional<ServerLimit>& left,
                 const std::optional<ServerLimit>& right) {
  if (!IsNamed(left) || !IsNamed(right)) {
    return IsNamed(left) == IsNamed(right);
  }
  return left->per_s == right->per_s;
}

bool IsMalformedLimitLogDue(std::optional<TimePoint> logged_at, TimePoint now) {
  return !logged_at || now - *logged_at >= kMalformedLimitLogPeriod;
}

std::optional<ServerLimitKind> ToLimitKind(int number) {
  for (const auto kind :
       {ServerLimitKind::kNamed, ServerLimitKind::kWithdrawn}) {
    if (static_cast<int>(kind) == number) {
      return kind;
    }
  }
  return std::nullopt;
}

std::string_view LimitKindName(ServerLimitKind kind) {
  return kind == ServerLimitKind::kNamed ? "named" : "withdrawn";
}

}  // namespace toucanhollow
