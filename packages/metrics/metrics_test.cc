#include <string>

#include <catch2/catch.hpp>

#include "metrics/metrics.h"

namespace toucanhollow {
namespace {

TEST_CASE("each label set has its own counter") {
  Metrics metrics;
  metrics.Count("refused", "code=\"1105\"");
  metrics.Count("refused", "code=\"1105\"", 2);
  metrics.Count("refused", "code=\"1107\"");
  CHECK(metrics.CounterValue("refused", "code=\"1105\"") == 3);
  CHECK(metrics.CounterValue("refused", "code=\"1108\"") == 0);
  CHECK(metrics.FormatText() ==
        "toucanhollow_refused{code=\"1105\"} 3\n"
        "toucanhollow_refused{code=\"1107\"} 1\n");
}

// Guards against quantiles that mix the samples of two summaries or miss the
// tail.
TEST_CASE("summaries estimate quantiles") {
  Metrics metrics;
  for (int i = 1; i <= 1000; ++i) {
    metrics.Observe("wait_ms", i);
    metrics.Observe("other_ms", 5.0);
  }
  const std::string text = metrics.FormatText();
  const auto value = [&](const std::string& key) {
    const std::size_t start = text.find(key);
    REQUIRE(start != std::string::npos);
    return std::stod(text.substr(start + key.size()));
  };
  CHECK(value("wait_ms{quantile=\"0.5\"} ") == Approx(500).margin(25));
  CHECK(value("wait_ms{quantile=\"0.99\"} ") == Approx(990).margin(25));
  CHECK(value("wait_ms_count ") == 1000);
  CHECK(value("other_ms{quantile=\"0.95\"} ") == Approx(5));
}

// Guards against reporting a p95 of 0 while there are few samples, as was seen
// after three requests.
TEST_CASE("quantiles are omitted until there are enough samples") {
  Metrics metrics;
  for (int i = 0; i < 3; ++i) {
    metrics.Observe("wait_ms", 40);
  }
  CHECK(metrics.FormatText() ==
        "toucanhollow_wait_ms_mean 40\ntoucanhollow_wait_ms_count 3\n");
}

}  // namespace
}  // namespace toucanhollow
