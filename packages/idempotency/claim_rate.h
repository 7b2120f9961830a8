// The endpoint that a key's dispatches go to, and the rate of claim appends.
#ifndef IDEMPOTENCY_CLAIM_RATE_H_
#define IDEMPOTENCY_CLAIM_RATE_H_

#include <optional>
#include <span>

#include "base/name.h"
#include "base/time.h"
#include "idempotency/idempotency_key.h"

namespace toucanhollow {

// Maximum rate of all writers of claims together, out of the several hundred
// appends per second that the log accepts.
constexpr int kClaimAppendsPerSecond = 200;

// The minimum time between two batches of one writer. `writers` counts the
// endpoints of all plain services that accept keyed calls, or the relays.
Duration ClaimBatchInterval(int writers);

// Chooses the endpoint that all dispatches of the key are sent to while it is
// among `endpoints`, by rendezvous hashing; none if `endpoints` is empty. That
// a key runs at most once does not depend on this choice.
std::optional<EndpointName> ChooseHomeEndpoint(
    const ScopedKey& key,
    std::span<const EndpointName> endpoints);

}  // namespace toucanhollow

#endif  // IDEMPOTENCY_CLAIM_RATE_H_
