#include "policy_bench/summary.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace toucanhollow {
namespace {

double Quantile(std::vector<double>& values, double share) {
  if (values.empty()) {
    return 0;
  }
  const auto position =
      values.begin() + static_cast<std::ptrdiff_t>(
                           share * static_cast<double>(values.size() - 1));
  std::ranges::nth_element(values, position);
  return *position;
}

std::string FormatNumber(double value, int decimals) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%.*f", decimals, value);
  return text.data();
}

}  // namespace

WindowSummary SummarizeWindow(
    const FleetResult& result,
    Duration from,
    Duration to,
    const std::function<bool(const RequestResult&)>& included) {
  WindowSummary summary;
  std::vector<double> first_tokens;
  double cost = 0;
  for (const RequestResult& request : result.requests) {
    if (request.arrival < TimePoint(from) || request.arrival >= TimePoint(to) ||
        (included && !included(request))) {
      continue;
    }
    ++summary.requests;
    summary.lost += request.ended ? 0 : 1;
    summary.in_time += request.in_time ? 1 : 0;
    if (request.first_token > Duration(0)) {
      first_tokens.push_back(ToMilliseconds(request.first_token));
    }
    if (!request.ended) {
      continue;
    }
    if (request.code == ResultCode::kAnswered) {
      ++summary.answered;
      cost += request.in_time ? request.cost : 0;
    } else if (IsCertainlyNotRun(request.code)) {
      ++summary.refused;
    } else {
      ++summary.unknown;
    }
  }
  summary.in_time_share =
      summary.requests == 0
          ? 1
          : static_cast<double>(summary.in_time) / summary.requests;
  summary.goodput = cost * 1000 / ToMilliseconds(to - from);
  summary.first_token_p50_ms = Quantile(first_tokens, 0.50);
  summary.first_token_p95_ms = Quantile(first_tokens, 0.95);
  return summary;
}

std::string FormatSpread(const std::vector<double>& values, int decimals) {
  if (values.empty()) {
    return "-";
  }
  double sum = 0;
  for (const double value : values) {
    sum += value;
  }
  const auto [lowest, highest] = std::ranges::minmax(values);
  std::string mean =
      FormatNumber(sum / static_cast<double>(values.size()), decimals);
  if (lowest == highest) {
    return mean;
  }
  return mean + " (" + FormatNumber(lowest, decimals) + " to " +
         FormatNumber(highest, decimals) + ")";
}

}  // namespace toucanhollow
