// Where a key goes and how often claims are appended.
#ifndef IDEMPOTENCY_CLAIM_RATE_H_
#define IDEMPOTENCY_CLAIM_RATE_H_

#include <optional>
#include <span>

#include "base/name.h"
#include "base/time.h"
#include "idempotency/idempotency_key.h"

namespace toucanhollow {

// All writers of claims together append at most this often, of the several
// hundred appends a second that the log takes.
constexpr int kClaimAppendsPerSecond = 200;

// The least time between two batches of one writer. `writers` counts the
// endpoints of all plain services that take keyed calls, or the relays.
Duration ClaimBatchInterval(int writers);

// The endpoint that the dispatches of a key are sent to while it is among
// `endpoints`; none if there are none. Safety does not depend on it.
std::optional<EndpointName> ChooseHomeEndpoint(
    const ScopedKey& key,
    std::span<const EndpointName> endpoints);

}  // namespace toucanhollow

#endif  // IDEMPOTENCY_CLAIM_RATE_H_
