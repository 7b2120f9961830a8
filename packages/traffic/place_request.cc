#include "traffic/place_request.h"

#include <algorithm>
#include <utility>

namespace toucanhollow {
namespace {

// Weight of the newest outcome in the failure rate; about the last 8 outcomes
// count.
constexpr double kOutcomeWeight = 0.125;
// A server is avoided for this long after its first failure; each further
// failure in a row doubles the time.
constexpr Duration kInitialAvoidTime = Milliseconds(150);
constexpr int kMaxDoublings = 4;
// Number of running requests that a failure rate of 1 counts as.
constexpr double kFailurePenalty = 12;
// A remote server is chosen over a local one only if its load is lower by this
// many running requests.
constexpr double kRemotePenalty = 0.1;

// Indices of the candidates below their limit. Servers that are slow or to be
// avoided are included only if there are no others.
std::vector<std::size_t> FindAvailable(
    const std::vector<ServerCandidate>& candidates,
    TimePoint now) {
  std::vector<std::size_t> available;
  std::vector<std::size_t> avoided;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].outstanding < candidates[i].limit) {
      const bool avoid =
          candidates[i].slow || now < candidates[i].health.avoid_until;
      (avoid ? avoided : available).push_back(i);
    }
  }
  return available.empty() ? avoided : available;
}

// The next number of a pseudo-random sequence (splitmix64).
std::uint64_t SplitMix64(std::uint64_t state) {
  state += 0x9e3779b97f4a7c15;
  state = (state ^ (state >> 30)) * 0xbf58476d1ce4e5b9;
  state = (state ^ (state >> 27)) * 0x94d049bb133111eb;
  return state ^ (state >> 31);
}

}  // namespace

ServerHealth RecordSuccess(const ServerHealth& health) {
  return {health.failure_rate * (1 - kOutcomeWeight), 0, {}};
}

ServerHealth RecordFailure(const ServerHealth& health, TimePoint now) {
  ServerHealth next = health;
  next.failure_rate += kOutcomeWeight * (1 - health.failure_rate);
  ++next.consecutive_failures;
  const int doublings = std::min(next.consecutive_failures - 1, kMaxDoublings);
  next.avoid_until = now + kInitialAvoidTime * (1 << doublings);
  return next;
}

ServerHealth RecordReportedFault(const ServerHealth& health, TimePoint now) {
  ServerHealth next = health;
  next.avoid_until = std::max(next.avoid_until, now + kInitialAvoidTime);
  return next;
}

std::optional<std::size_t> PlaceRequest(
    const std::vector<ServerCandidate>& candidates,
    const PlacementRequest& request,
    TimePoint now) {
  std::vector<std::size_t> available = FindAvailable(candidates, now);
  if (available.empty()) {
    return std::nullopt;
  }
  std::optional<std::size_t> best;
  double best_cost = 0;
  const std::size_t sample = std::min(request.sample_size, available.size());
  std::uint64_t random = request.seed;
  for (std::size_t i = 0; i < sample; ++i) {
    random = SplitMix64(random);
    std::swap(available[i], available[i + random % (available.size() - i)]);
    const ServerCandidate& candidate = candidates[available[i]];
    const double cost =
        candidate.outstanding +
        candidate.pending_prompt_tokens / request.tokens_per_request +
        candidate.health.failure_rate * kFailurePenalty +
        (candidate.local ? 0 : kRemotePenalty);
    if (!best || cost < best_cost) {
      best = available[i];
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace toucanhollow
