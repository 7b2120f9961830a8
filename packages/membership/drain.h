// Graceful shutdown of entry hosts and endpoint agents. Neither cuts off a
// request in flight.
#ifndef MEMBERSHIP_DRAIN_H_
#define MEMBERSHIP_DRAIN_H_

#include "base/time.h"

namespace toucanhollow {

// Phases of an entry host's shutdown, in order.
enum class EntryDrainPhase {
  kServing,
  kNotReady,  // readiness is false; new requests are still served
  kClosed,    // the listening socket is closed; open streams run to their end
  kExit,      // the process may exit
};

struct EntryDrain {
  EntryDrainPhase phase = EntryDrainPhase::kServing;
  // Time at which kNotReady ends and the listening socket is closed.
  TimePoint close_at;

  bool operator==(const EntryDrain&) const = default;
};

// Starts the drain of an entry host on SIGTERM. `balancer_lag` is the time
// within which the load balancer in front of the entry host notices that it is
// no longer ready. A second signal has no effect.
EntryDrain BeginEntryDrain(const EntryDrain& drain,
                           Duration balancer_lag,
                           TimePoint now);

// Advances the drain by at most one phase. To be called on a timer and whenever
// a request or connection ends. `in_flight` counts requests accepted and not
// yet answered in full. Closing and exiting take two calls: requests that
// arrived before the close but had not been read, as after a pause of this
// process, are counted in `in_flight` by the second call.
EntryDrain AdvanceEntryDrain(const EntryDrain& drain,
                             int in_flight,
                             TimePoint now);

struct AgentDrain {
  bool terminating = false;  // SIGTERM was received
  bool listed = false;       // the host list names the endpoint as leaving

  bool operator==(const AgentDrain&) const = default;
};

// True while the agent refuses new work and reports itself as leaving in its
// heartbeats.
constexpr bool IsLeaving(const AgentDrain& drain) {
  return drain.terminating || drain.listed;
}

// True if the agent process may exit. It exits only after SIGTERM, not because
// the host list names the endpoint as leaving. `pending` counts dispatches that
// run, wait, or have results still to be sent or appended to the log.
constexpr bool CanExit(const AgentDrain& drain, int pending) {
  return drain.terminating && pending == 0;
}

}  // namespace toucanhollow

#endif  // MEMBERSHIP_DRAIN_H_
