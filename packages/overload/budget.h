// Budgets that bound the load that retries and hedges add.
#ifndef OVERLOAD_BUDGET_H_
#define OVERLOAD_BUDGET_H_

#include <array>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace toucanhollow {

// Token bucket filled by requests: `ratio` tokens each, up to `capacity`.
struct Budget {
  double ratio = 0.1;
  double capacity = 10;
  // A new process may retry its first failures.
  double tokens = 10;

  bool operator==(const Budget&) const = default;
};

// 10% of requests. The capacity lets a host save up for the sudden loss of many
// endpoints: at 20 requests/s with 2.5 s each, a lost third is 17 retries.
constexpr Budget MakeRetryBudget() {
  return {0.1, 100, 10};
}

Budget RecordRequest(const Budget& budget);

struct SpendDecision {
  Budget budget;
  bool allowed = false;

  bool operator==(const SpendDecision&) const = default;
};

// Spends one token on a retry if there is one.
SpendDecision SpendRetry(const Budget& budget);

// Counts of past answer times in buckets that each cover 1/8 of a power of
// two of microseconds, with old samples fading.
struct LatencyHistogram {
  static constexpr int kBuckets = 256;
  std::array<float, kBuckets> counts{};
  float total = 0;

  bool operator==(const LatencyHistogram&) const = default;
};

struct HedgeState {
  // At most 5% of idempotent requests are hedged.
  Budget budget{0.05, 5, 0};
  LatencyHistogram answers;

  bool operator==(const HedgeState&) const = default;
};

// To be called once for each idempotent request, which earns the budget.
HedgeState RecordIdempotentRequest(const HedgeState& state);

// Time to the first token of a model answer, or to a plain answer.
HedgeState RecordAnswerTime(const HedgeState& state, Duration time);

// The 95th percentile of past answer times, when a timer for a hedge should
// fire; nothing until enough answers are known.
std::optional<Duration> HedgeDelay(const HedgeState& state);

struct HedgeRequest {
  bool idempotent = false;
  // False once a token or an answer has come.
  bool unanswered = true;
  int hedges_sent = 0;
  Duration elapsed{0};

  bool operator==(const HedgeRequest&) const = default;
};

struct HedgeDecision {
  HedgeState state;
  bool hedge = false;

  bool operator==(const HedgeDecision&) const = default;
};

// Decides on a second attempt beside the running one and spends the budget on
// it. Only idempotent requests are hedged, once, and after the p95. The state
// is taken by move for its histogram of 1 KB.
HedgeDecision ShouldHedge(const HedgeState& state, const HedgeRequest& request);

}  // namespace toucanhollow

#endif  // OVERLOAD_BUDGET_H_
