#include "placement_bench/popularity_model.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace toucanhollow {
namespace {

void Normalize(std::vector<double>& values) {
  const double sum = std::accumulate(values.begin(), values.end(), 0.0);
  for (double& value : values) {
    value /= sum;
  }
}

// One exact step of an Ornstein-Uhlenbeck process around 0.
double StepProcess(double value,
                   double spread,
                   double time_constant,
                   double seconds,
                   std::mt19937_64& random) {
  const double keep = std::exp(-seconds / time_constant);
  std::normal_distribution<double> noise(0, 1);
  return value * keep + spread * std::sqrt(1 - keep * keep) * noise(random);
}

}  // namespace

PopularityModel::PopularityModel(const PopularityParameters& parameters,
                                 int experts,
                                 std::uint64_t seed)
    : parameters(parameters), random(seed) {
  std::lognormal_distribution<double> common(0, parameters.expert_spread);
  std::lognormal_distribution<double> own(0, parameters.topic_spread);
  std::normal_distribution<double> start(0, 1);
  std::vector<double> base(static_cast<std::size_t>(experts));
  std::ranges::generate(base, [&] { return common(this->random); });
  for (int topic = 0; topic < parameters.topics; ++topic) {
    std::vector<double>& taste = this->taste.emplace_back(base);
    for (double& value : taste) {
      value *= own(this->random);
    }
    Normalize(taste);
    this->drift.push_back(parameters.drift_spread * start(this->random));
    this->flicker.push_back(parameters.flicker_spread * start(this->random));
  }
  std::exponential_distribution<double> wait(1 / parameters.shift_mean_seconds);
  this->until_shift = wait(this->random);
}

void PopularityModel::Advance(double seconds) {
  for (std::size_t topic = 0; topic < this->drift.size(); ++topic) {
    this->drift[topic] =
        StepProcess(this->drift[topic], this->parameters.drift_spread,
                    this->parameters.drift_seconds, seconds, this->random);
    this->flicker[topic] =
        StepProcess(this->flicker[topic], this->parameters.flicker_spread,
                    this->parameters.flicker_seconds, seconds, this->random);
  }
  this->until_shift -= seconds;
  if (this->until_shift <= 0) {
    const std::size_t topic = this->random() % this->drift.size();
    const double sign = this->random() % 2 == 0 ? 1 : -1;
    this->drift[topic] += sign * std::log(this->parameters.shift_factor);
    std::exponential_distribution<double> wait(
        1 / this->parameters.shift_mean_seconds);
    this->until_shift = wait(this->random);
  }
}

std::vector<double> PopularityModel::Shares() const {
  std::vector<double> shares(this->taste.front().size(), 0);
  for (std::size_t topic = 0; topic < this->taste.size(); ++topic) {
    const double weight = std::exp(this->drift[topic] + this->flicker[topic]);
    for (std::size_t expert = 0; expert < shares.size(); ++expert) {
      shares[expert] += weight * this->taste[topic][expert];
    }
  }
  Normalize(shares);
  return shares;
}

}  // namespace toucanhollow
