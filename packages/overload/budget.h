// Budgets that bound the load that retries and hedges add.
#ifndef OVERLOAD_BUDGET_H_
#define OVERLOAD_BUDGET_H_

#include <array>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace toucanhollow {

// Token bucket to which each request adds `ratio` tokens, up to `capacity`.
struct Budget {
  double ratio = 0.1;
  double capacity = 10;
  // A new process may retry its first failures.
  double tokens = 10;

  bool operator==(const Budget&) const = default;
};

// Allows retries of 10% of the requests. The capacity lets a host accumulate
// tokens for the sudden loss of many endpoints: at 20 requests/s of 2.5 s each,
// the loss of a third of the endpoints causes 17 retries.
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

// Counts of past answer times, in microseconds, in buckets that each cover 1/8
// of a power of two. Old samples decay. The counts take 1 KB.
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

// To be called once for each idempotent request, which adds to the hedge
// budget.
HedgeState RecordIdempotentRequest(const HedgeState& state);

// Records the time to the first token of a model answer, or to a plain answer.
HedgeState RecordAnswerTime(const HedgeState& state, Duration time);

// The 95th percentile of past answer times, after which a hedge should be sent;
// empty until enough answer times are known.
std::optional<Duration> HedgeDelay(const HedgeState& state);

struct HedgeRequest {
  bool idempotent = false;
  // False once a token or an answer has arrived.
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

// Decides whether to send a second attempt while the first is running, and
// spends the hedge budget on it. Only idempotent requests are hedged, once, and
// after the 95th percentile of the answer times.
HedgeDecision ShouldHedge(const HedgeState& state, const HedgeRequest& request);

}  // namespace toucanhollow

#endif  // OVERLOAD_BUDGET_H_
