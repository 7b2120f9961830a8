#include "quarantine/choose_canary.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "base/hash.h"

namespace toucanhollow {

std::optional<std::size_t> ChooseCanary(
    const std::vector<CanaryCandidate>& candidates,
    PartId part,
    const QuarantineState& state) {
  std::set<std::uint32_t> crashed;
  for (const auto& [server, crash] : state.crashes) {
    crashed.insert(server.address);
  }
  const std::string key = FormatPartId(part);
  const auto preference = [&](const CanaryCandidate& candidate) {
    return std::tuple(!crashed.contains(candidate.address),
                      HashText(candidate.group),
                      RendezvousScore(key, candidate.server));
  };
  const auto best = std::ranges::max_element(candidates, {}, preference);
  if (best == candidates.end() || !best->available) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(best - candidates.begin());
}

}  // namespace toucanhollow
