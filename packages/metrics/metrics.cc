#include "metrics/metrics.h"

#include <array>
#include <map>
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace toucanhollow {
namespace {

namespace acc = boost::accumulators;

using Summary = acc::accumulator_set<
    double,
    acc::stats<acc::tag::count, acc::tag::mean, acc::tag::extended_p_square>>;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

// The estimator yields no valid quantiles with fewer samples.
constexpr std::size_t kMinQuantileSamples = 2 * kQuantiles.size() + 3;

std::string MakeKey(std::string_view name, std::string_view labels) {
  std::string key(name);
  if (!labels.empty()) {
    key.append("{").append(labels).append("}");
  }
  return key;
}

}  // namespace

struct Metrics::State {
  std::map<std::string, std::uint64_t, std::less<>> counters;
  std::map<std::string, double, std::less<>> gauges;
  std::map<std::string, Summary, std::less<>> summaries;
};

Metrics::Metrics() : state(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::Count(std::string_view name,
                    std::string_view labels,
                    std::uint64_t amount) {
  this->state->counters[MakeKey(name, labels)] += amount;
}

void Metrics::SetGauge(std::string_view name,
                       double value,
                       std::string_view labels) {
  this->state->gauges[MakeKey(name, labels)] = value;
}

void Metrics::Observe(std::string_view name, double sample) {
  auto found = this->state->summaries.find(name);
  if (found == this->state->summaries.end()) {
    Summary summary(acc::tag::extended_p_square::probabilities = kQuantiles);
    found = this->state->summaries.emplace(std::string(name), summary).first;
  }
  found->second(sample);
}

std::uint64_t Metrics::CounterValue(std::string_view name,
                                    std::string_view labels) const {
  const auto found = this->state->counters.find(MakeKey(name, labels));
  return found == this->state->counters.end() ? 0 : found->second;
}

std::string Metrics::FormatText() const {
  std::ostringstream text;
  for (const auto& [key, value] : this->state->counters) {
    text << "toucanhollow_" << key << ' ' << value << '\n';
  }
  for (const auto& [key, value] : this->state->gauges) {
    text << "toucanhollow_" << key << ' ' << value << '\n';
  }
  for (const auto& [name, summary] : this->state->summaries) {
    const auto quantiles = acc::extended_p_square(summary);
    const bool has_quantiles = acc::count(summary) >= kMinQuantileSamples;
    for (std::size_t i = 0; has_quantiles && i < kQuantiles.size(); ++i) {
      text << "toucanhollow_" << name << "{quantile=\"" << kQuantiles[i]
           << "\"} " << quantiles[i] << '\n';
    }
    text << "toucanhollow_" << name << "_mean " << acc::mean(summary) << '\n'
         << "toucanhollow_" << name << "_count " << acc::count(summary) << '\n';
  }
  return text.str();
}

}  // namespace toucanhollow
