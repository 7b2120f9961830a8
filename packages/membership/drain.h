// Drain: the graceful end of an entry host and of an endpoint agent. Neither
// cuts off a request in flight.
#ifndef MEMBERSHIP_DRAIN_H_
#define MEMBERSHIP_DRAIN_H_

#include "base/time.h"

namespace toucanhollow {

// Steps of an entry host in order.
enum class EntryDrainPhase {
  kServing,
  kNotReady,  // readiness is false; new requests are still served
  kClosed,    // the listening socket is closed; streams end by themselves
  kExit,
};

struct EntryDrain {
  EntryDrainPhase phase = EntryDrainPhase::kServing;
  TimePoint close_at;

  bool operator==(const EntryDrain&) const = default;
};

// On SIGTERM. `balancer_lag` is the time that the balancer in front needs to
// notice the lost readiness. A second signal changes nothing.
EntryDrain BeginEntryDrain(const EntryDrain& drain,
                           Duration balancer_lag,
                           TimePoint now);

// To be called on a timer and whenever a request or connection ends.
// `in_flight` counts requests accepted and not yet answered in full. Closing
// and exiting are two steps: requests that arrived before the close and were
// not read yet, as after a pause of this process, are in flight by the second.
EntryDrain AdvanceEntryDrain(const EntryDrain& drain,
                             int in_flight,
                             TimePoint now);

struct AgentDrain {
  bool terminating = false;  // SIGTERM was received
  bool listed = false;       // the host list names the endpoint as leaving

  bool operator==(const AgentDrain&) const = default;
};

// True while the agent refuses new work and says so in its heartbeats.
constexpr bool IsLeaving(const AgentDrain& drain) {
  return drain.terminating || drain.listed;
}

// True when the process may end. Only SIGTERM ends it; a listing does not.
// `pending` counts dispatches that run, wait, or have results to be sent or
// appended.
constexpr bool CanExit(const AgentDrain& drain, int pending) {
  return drain.terminating && pending == 0;
}

}  // namespace toucanhollow

#endif  // MEMBERSHIP_DRAIN_H_
