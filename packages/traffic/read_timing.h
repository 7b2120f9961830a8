// ReadTiming: when a topic of the platform's store is read, so that a host
// notices in time that it has lost contact.
//
// A connection to the store may fall silent without notice. The platform's
// bounds apply to the host again `contact_bound` later, and by then it must
// have noticed, connected again and read what it missed:
//
//   read_delay + long_poll_wait + kAnswerTimeout + kReconnectTime
//       <= contact_bound
#ifndef TRAFFIC_READ_TIMING_H_
#define TRAFFIC_READ_TIMING_H_

#include "base/time.h"

namespace toucanhollow {

// Time allowed for an answer beyond the long-poll wait. A slow store takes
// 350 ms.
inline constexpr Duration kAnswerTimeout = Milliseconds(700);
// Time allowed for a new connection and a read on it that does not wait.
inline constexpr Duration kReconnectTime = Milliseconds(500);

struct ReadTiming {
  // Delay between an answer and the next read, so that records which are
  // written meanwhile arrive in one answer.
  Duration read_delay{0};
  // How long the store holds a read while there are no new records.
  Duration long_poll_wait{0};

  bool operator==(const ReadTiming&) const = default;
};

// `max_read_delay` is how long a record may wait for the next read. The delay
// is shorter if the bound leaves too little for the long poll; a bound below
// kAnswerTimeout + kReconnectTime cannot be met.
ReadTiming PlanReads(Duration contact_bound, Duration max_read_delay);

// How long after the last answer a host that has lost contact notices it.
Duration FindDetectionTime(const ReadTiming& timing);

// The pause after an answer that is longer than the host accepts, which may
// cost megabytes at each read. `earlier` is the number of such answers since
// the log was last read.
Duration FindTooLargePause(int earlier);

}  // namespace toucanhollow

#endif  // TRAFFIC_READ_TIMING_H_
