#include "traffic/permit_availability.h"

#include <algorithm>

#include "traffic/permit_ledger.h"

namespace toucanhollow {
namespace {

// The wait after the first denial or timeout is at least this; each further one
// in a row doubles it. The longest wait is short beside the time that an agent
// takes to restart.
constexpr Duration kMinBackoff = Milliseconds(25);
constexpr int kMaxDoublings = 4;

Duration Backoff(int consecutive) {
  return kMinBackoff * (1 << std::min(consecutive, kMaxDoublings));
}

}  // namespace

PermitAvailability RecordAsk(const PermitAvailability& availability,
                             TimePoint now) {
  PermitAvailability next = availability;
  if (next.consecutive_timeouts > 0 || next.consecutive_denials > 0) {
    next.ask_from = now + kPermitAnswerTimeout;
  }
  return next;
}

PermitAvailability RecordGrant() {
  return {};
}

PermitAvailability RecordDenial(const PermitAvailability& availability,
                                Duration wait,
                                std::uint64_t draw,
                                TimePoint now) {
  const Duration backoff = Backoff(availability.consecutive_denials);
  const Duration jitter(static_cast<Duration::rep>(
      draw % static_cast<std::uint64_t>(backoff.count())));
  // An issuer states more only for a server that names a very low limit, which
  // may be withdrawn meanwhile.
  const Duration stated = std::clamp(wait, Duration(0), kPermitWindow);
  return {now + stated + jitter, availability.consecutive_denials + 1, 0};
}

PermitAvailability RecordTimeout(const PermitAvailability& availability,
                                 TimePoint now) {
  const int timeouts = availability.consecutive_timeouts + 1;
  return {now + Backoff(timeouts), 0, timeouts};
}

}  // namespace toucanhollow
