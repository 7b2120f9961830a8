// PermitAvailability: when a host asks the agent of a server for a permit.
#ifndef TRAFFIC_PERMIT_AVAILABILITY_H_
#define TRAFFIC_PERMIT_AVAILABILITY_H_

#include <cstdint>

#include "base/time.h"

namespace toucanhollow {

// An agent that has not answered for this long does not run, or the datagram
// was lost.
inline constexpr Duration kPermitAnswerTimeout = Milliseconds(50);

struct PermitAvailability {
  // The host does not ask before this time.
  TimePoint ask_from;
  int consecutive_denials = 0;
  int consecutive_timeouts = 0;

  bool operator==(const PermitAvailability&) const = default;
};

// After a denial or a timeout, one request at a time asks.
PermitAvailability RecordAsk(const PermitAvailability& availability,
                             TimePoint now);
PermitAvailability RecordGrant();
// `wait` is the time that the agent stated, and `draw` is random: hosts that
// are denied together do not ask again together.
PermitAvailability RecordDenial(const PermitAvailability& availability,
                                Duration wait,
                                std::uint64_t draw,
                                TimePoint now);
PermitAvailability RecordTimeout(const PermitAvailability& availability,
                                 TimePoint now);

}  // namespace toucanhollow

#endif  // TRAFFIC_PERMIT_AVAILABILITY_H_
