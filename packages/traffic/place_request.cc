#include "traffic/place_request.h"

#include <algorithm>

namespace toucanhollow {
namespace {

// Weight of the newest outcome in the failure rate; about the last 8 count.
constexpr double kOutcomeWeight = 0.125;
// First time that a failing server is avoided; doubled by each further failure.
constexpr Duration kFirstAvoid = Milliseconds(150);
constexpr int kMaxDoublings = 4;
// Running requests that a failure rate of 1 weighs as much as.
constexpr double kFailureWeight = 12;
// A remote server must have less work than a local one by this much.
constexpr double kRemoteWeight = 0.1;

}  // namespace

ServerHealth RecordSuccess(const ServerHealth& health) {
  return {health.failure_rate * (1 - kOutcomeWeight), 0, {}};
}

ServerHealth RecordFailure(const ServerHealth& health, TimePoint now) {
  ServerHealth next = health;
  next.failure_rate += kOutcomeWeight * (1 - health.failure_rate);
  ++next.failures_in_row;
  const int doublings = std::min(next.failures_in_row - 1, kMaxDoublings);
  next.avoid_until = now + kFirstAvoid * (1 << doublings);
  return next;
}

std::optional<std::size_t> PlaceRequest(
    const std::vector<ServerCandidate>& candidates,
    const PlacementRequest& request,
    TimePoint now) {
  std::optional<std::size_t> best;
  double best_cost = 0;
  bool best_avoided = false;
  const std::size_t count = candidates.size();
  for (std::size_t i = 0; i < count; ++i) {
    // Starting at the draw spreads equal candidates.
    const std::size_t index = (i + request.draw) % count;
    const ServerCandidate& candidate = candidates[index];
    if (candidate.outstanding >= candidate.limit) {
      continue;
    }
    const bool avoided = now < candidate.health.avoid_until;
    const double cost = candidate.outstanding +
                        candidate.unread_tokens / request.tokens_per_request +
                        candidate.health.failure_rate * kFailureWeight +
                        (candidate.local ? 0 : kRemoteWeight);
    const bool better = !best || (best_avoided && !avoided) ||
                        (best_avoided == avoided && cost < best_cost);
    if (better) {
      best = index;
      best_cost = cost;
      best_avoided = avoided;
    }
  }
  return best;
}

}  // namespace toucanhollow
