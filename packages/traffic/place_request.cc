#include "traffic/place_request.h"

#include <algorithm>
#include <utility>

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

// Candidates below their limit, without those to be avoided unless all are.
std::vector<std::size_t> WithRoom(
    const std::vector<ServerCandidate>& candidates,
    TimePoint now) {
  std::vector<std::size_t> open;
  std::vector<std::size_t> avoided;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].outstanding < candidates[i].limit) {
      const bool avoid =
          candidates[i].slow || now < candidates[i].health.avoid_until;
      (avoid ? avoided : open).push_back(i);
    }
  }
  return open.empty() ? avoided : open;
}

// The next number of a pseudo-random sequence (splitmix64).
std::uint64_t Mix(std::uint64_t state) {
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
  ++next.failures_in_row;
  const int doublings = std::min(next.failures_in_row - 1, kMaxDoublings);
  next.avoid_until = now + kFirstAvoid * (1 << doublings);
  return next;
}

std::optional<std::size_t> PlaceRequest(
    const std::vector<ServerCandidate>& candidates,
    const PlacementRequest& request,
    TimePoint now) {
  std::vector<std::size_t> open = WithRoom(candidates, now);
  if (open.empty()) {
    return std::nullopt;
  }
  std::optional<std::size_t> best;
  double best_cost = 0;
  const std::size_t sample = std::min(request.choices, open.size());
  std::uint64_t draw = request.draw;
  for (std::size_t i = 0; i < sample; ++i) {
    draw = Mix(draw);
    std::swap(open[i], open[i + draw % (open.size() - i)]);
    const ServerCandidate& candidate = candidates[open[i]];
    const double cost = candidate.outstanding +
                        candidate.unread_tokens / request.tokens_per_request +
                        candidate.health.failure_rate * kFailureWeight +
                        (candidate.local ? 0 : kRemoteWeight);
    if (!best || cost < best_cost) {
      best = open[i];
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace toucanhollow
