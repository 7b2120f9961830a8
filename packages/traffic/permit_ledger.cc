#include "traffic/permit_ledger.h"

#include <algorithm>
#include <cmath>

namespace toucanhollow {
namespace {

using FractionalSeconds = std::chrono::duration<double>;

// Also the wait of a server that gets no permits at all.
constexpr Duration kLongestWait = Seconds(10);

void DropLeastRecentlyUsed(PermitLedger& ledger, TimePoint now) {
  if (ledger.buckets.size() > ledger.max_servers) {
    ledger.empty_at = now;
    ledger.buckets.erase(std::ranges::min_element(
        ledger.buckets, {},
        [](const auto& entry) { return entry.second.updated_at; }));
  }
}

}  // namespace

PermitRate FindPermitRate(double cold_requests_per_s, const ColdBound& bound) {
  const double usable =
      (cold_requests_per_s * bound.burst_factor + bound.slack) *
      kUsableColdBound;
  const double window = FractionalSeconds(kPermitWindow).count();
  const double burst = std::max(usable - cold_requests_per_s * window, 1.0);
  return {std::max(usable - burst, 0.0) / window, burst};
}

PermitDecision CheckPermit(PermitLedger& ledger,
                           std::uint32_t server,
                           const PermitRate& rate,
                           TimePoint now) {
  const auto [entry, is_new] =
      ledger.buckets.try_emplace(server, PermitBucket{0, ledger.empty_at});
  PermitBucket& bucket = entry->second;
  const FractionalSeconds since_update(now - bucket.updated_at);
  bucket.permits =
      std::min(bucket.permits + since_update.count() * rate.per_s, rate.burst);
  bucket.updated_at = now;
  PermitDecision decision;
  decision.granted = bucket.permits >= 1;
  if (!decision.granted && (rate.per_s <= 0 || rate.burst < 1)) {
    decision.wait = kLongestWait;
  } else if (!decision.granted) {
    decision.wait = std::chrono::ceil<Duration>(
        std::min(FractionalSeconds((1 - bucket.permits) / rate.per_s),
                 FractionalSeconds(kLongestWait)));
  }
  if (is_new) {
    DropLeastRecentlyUsed(ledger, now);
  }
  return decision;
}

void TakePermit(PermitLedger& ledger, std::uint32_t server) {
  ledger.buckets.at(server).permits -= 1;
}

PermitDecision GivePermit(PermitLedger& ledger,
                          std::uint32_t server,
                          const PermitRate& rate,
                          TimePoint now) {
  const PermitDecision decision = CheckPermit(ledger, server, rate, now);
  if (decision.granted) {
    TakePermit(ledger, server);
  }
  return decision;
}

}  // namespace toucanhollow
