#include "membership/drain.h"

namespace toucanhollow {

EntryDrain BeginEntryDrain(const EntryDrain& drain,
                           Duration balancer_lag,
                           TimePoint now) {
  return drain.phase == EntryDrainPhase::kServing
             ? EntryDrain{EntryDrainPhase::kNotReady, now + balancer_lag}
             : drain;
}

EntryDrain AdvanceEntryDrain(const EntryDrain& drain,
                             int in_flight,
                             TimePoint now) {
  EntryDrain next = drain;
  if (next.phase == EntryDrainPhase::kNotReady && now >= next.close_at) {
    next.phase = EntryDrainPhase::kClosed;
  } else if (next.phase == EntryDrainPhase::kClosed && in_flight == 0) {
    next.phase = EntryDrainPhase::kExit;
  }
  return next;
}

}  // namespace toucanhollow
