// A non-repeatable request with an idempotency key, as an endpoint agent
// receives it.
#ifndef IDEMPOTENCY_KEYED_DISPATCH_H_
#define IDEMPOTENCY_KEYED_DISPATCH_H_

#include <cstdint>

#include "base/incarnation.h"
#include "base/name.h"
#include "base/time.h"
#include "idempotency/idempotency_key.h"

namespace toucanhollow {

struct KeyedDispatch {
  DispatchId id;
  ScopedKey key;
  std::uint64_t digest = 0;
  // The agent incarnation that the sender addressed.
  Incarnation receiver;
  // The run must start before this time of the agent's monotonic clock.
  TimePoint start_by;

  bool operator==(const KeyedDispatch&) const = default;
};

}  // namespace toucanhollow

#endif  // IDEMPOTENCY_KEYED_DISPATCH_H_
