// Figures of one run and their spread over seeds.
#ifndef POLICY_BENCH_SUMMARY_H_
#define POLICY_BENCH_SUMMARY_H_

#include <functional>
#include <string>
#include <vector>

#include "base/time.h"
#include "policy_bench/fleet.h"

namespace toucanhollow {

// Requests that arrived in [from, to).
struct WindowSummary {
  int requests = 0;
  int answered = 0;
  int in_time = 0;
  int refused = 0;
  int unknown = 0;
  // Requests without any outcome at the end of the run.
  int lost = 0;
  double in_time_share = 0;
  double first_token_p50_ms = 0;
  double first_token_p95_ms = 0;
  // Cost of the requests answered in time, per second of the window.
  double goodput = 0;

  bool operator==(const WindowSummary&) const = default;
};

WindowSummary SummarizeWindow(
    const FleetResult& result,
    Duration from,
    Duration to,
    const std::function<bool(const RequestResult&)>& included = nullptr);

// "mean (lowest to highest)" with the given number of decimals.
std::string FormatSpread(const std::vector<double>& values, int decimals);

}  // namespace toucanhollow

#endif  // POLICY_BENCH_SUMMARY_H_
