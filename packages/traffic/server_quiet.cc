#include "traffic/server_quiet.h"

#include <algorithm>

namespace toucanhollow {
namespace {

constexpr Duration kMinReturnTime = Milliseconds(300);
constexpr Duration kMaxReturnTime = Milliseconds(1500);

}  // namespace

Duration QuietTime(double seconds) {
  const std::chrono::duration<double> time(seconds);
  return time >= kMaxQuietTime ? kMaxQuietTime
                               : std::chrono::ceil<Duration>(time);
}

std::optional<ServerQuiet> RecordQuiet(const std::optional<ServerQuiet>& belief,
                                       const QuietField& field,
                                       BootTime now) {
  if (field.kind != QuietFieldKind::kNamed || field.time <= Duration(0)) {
    return belief;
  }
  const BootTime until = now + field.time;
  return belief && belief->until >= until ? belief : ServerQuiet{until};
}

Duration RemainingQuiet(const std::optional<ServerQuiet>& belief,
                        BootTime now) {
  return belief ? std::max(belief->until - now, Duration(0)) : Duration(0);
}

Duration SpreadReturn(Duration remaining, std::uint64_t draw) {
  const Duration spread =
      std::clamp(remaining / 2, kMinReturnTime, kMaxReturnTime);
  return remaining + Duration(static_cast<Duration::rep>(
                         draw % static_cast<std::uint64_t>(spread.count())));
}

}  // namespace toucanhollow
