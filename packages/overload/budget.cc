#include "overload/budget.h"

#include <algorithm>
#include <cmath>

namespace toucanhollow {
namespace {

constexpr double kBucketsPerDoubling = 8;
// After this many samples all counts are halved, so that the estimate follows a
// change within a few thousand requests.
constexpr float kDecayAtSamples = 2048;
// The 95th percentile of fewer samples is too coarse.
constexpr float kMinSamples = 100;
constexpr float kHedgeQuantile = 0.95F;

int BucketOf(Duration time) {
  const double micros = std::max<double>(1, static_cast<double>(time.count()));
  return std::min(static_cast<int>(std::log2(micros) * kBucketsPerDoubling),
                  LatencyHistogram::kBuckets - 1);
}

// Upper bound of a bucket.
Duration UpperBoundOf(int bucket) {
  return Duration(static_cast<Duration::rep>(
      std::ceil(std::exp2((bucket + 1) / kBucketsPerDoubling))));
}

SpendDecision Spend(Budget budget) {
  // Repeated additions of 0.1 end just below a whole token.
  constexpr double kRounding = 1e-9;
  if (budget.tokens < 1 - kRounding) {
    return {budget, false};
  }
  budget.tokens = std::max(0.0, budget.tokens - 1);
  return {budget, true};
}

}  // namespace

Budget RecordRequest(const Budget& budget) {
  Budget next = budget;
  next.tokens = std::min(budget.capacity, budget.tokens + budget.ratio);
  return next;
}

SpendDecision SpendRetry(const Budget& budget) {
  return Spend(budget);
}

HedgeState RecordIdempotentRequest(const HedgeState& state) {
  HedgeState next = state;
  next.budget = RecordRequest(state.budget);
  return next;
}

HedgeState RecordAnswerTime(const HedgeState& state, Duration time) {
  HedgeState next = state;
  LatencyHistogram& answers = next.answers;
  answers.counts[BucketOf(time)] += 1;
  answers.total += 1;
  if (answers.total >= kDecayAtSamples) {
    answers.total = 0;
    for (float& count : answers.counts) {
      count /= 2;
      answers.total += count;
    }
  }
  return next;
}

std::optional<Duration> HedgeDelay(const HedgeState& state) {
  const LatencyHistogram& answers = state.answers;
  if (answers.total < kMinSamples) {
    return std::nullopt;
  }
  const float needed = answers.total * kHedgeQuantile;
  float sum = 0;
  int bucket = 0;
  for (; bucket < LatencyHistogram::kBuckets - 1; ++bucket) {
    sum += answers.counts[bucket];
    if (sum >= needed) {
      break;
    }
  }
  return UpperBoundOf(bucket);
}

HedgeDecision ShouldHedge(const HedgeState& state,
                          const HedgeRequest& request) {
  const std::optional<Duration> delay = HedgeDelay(state);
  if (!request.idempotent || !request.unanswered || request.hedges_sent > 0 ||
      !delay || request.elapsed < *delay) {
    return {state, false};
  }
  const SpendDecision spent = Spend(state.budget);
  HedgeDecision decision{state, spent.allowed};
  decision.state.budget = spent.budget;
  return decision;
}

}  // namespace toucanhollow
