#include "idempotency/claim_rate.h"

#include <algorithm>
#include <string>

#include "base/hash.h"

namespace toucanhollow {

Duration ClaimBatchInterval(int writers) {
  return Seconds(std::max(writers, 1)) / kClaimAppendsPerSecond;
}

std::optional<EndpointName> ChooseHomeEndpoint(
    const ScopedKey& key,
    std::span<const EndpointName> endpoints) {
  if (endpoints.empty()) {
    return std::nullopt;
  }
  const std::string text =
      key.account.value + "\n" + key.service.value + "\n" + FormatKey(key);
  return *std::ranges::max_element(endpoints, {},
                                   [&](const EndpointName& name) {
                                     return RendezvousScore(text, name.value);
                                   });
}

}  // namespace toucanhollow
