// A model of expert popularity for the placement measurement. Requests belong
// to topics, each with its own taste for experts; popularity is the mix of the
// topics. The mix drifts over minutes, flickers over seconds, and shifts
// suddenly when a large account starts or stops a job. All numbers were set
// before the first measurement and hold for every policy.
#ifndef PLACEMENT_BENCH_POPULARITY_MODEL_H_
#define PLACEMENT_BENCH_POPULARITY_MODEL_H_

#include <cstdint>
#include <random>
#include <vector>

namespace toucanhollow {

struct PopularityParameters {
  int topics = 12;
  // Lognormal spread of an expert's popularity over all topics and within one.
  double expert_spread = 0.4;
  double topic_spread = 0.8;
  // The log of a topic's weight follows an Ornstein-Uhlenbeck process.
  double drift_spread = 0.7;
  double drift_seconds = 900;
  double flicker_spread = 0.15;
  double flicker_seconds = 5;
  // Sudden shifts: one topic's weight is multiplied or divided by the factor.
  double shift_mean_seconds = 1200;
  double shift_factor = 4;
};

class PopularityModel {
 public:
  PopularityModel(const PopularityParameters& parameters,
                  int experts,
                  std::uint64_t seed);

  // Advances the mix.
  void Advance(double seconds);

  // The share of tokens of each expert; sums to 1.
  std::vector<double> Shares() const;

 private:
  PopularityParameters parameters;
  std::mt19937_64 random;
  // By topic and expert.
  std::vector<std::vector<double>> taste;
  std::vector<double> drift;
  std::vector<double> flicker;
  double until_shift = 0;
};

}  // namespace toucanhollow

#endif  // PLACEMENT_BENCH_POPULARITY_MODEL_H_
