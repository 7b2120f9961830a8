#include "placement_bench/simulate.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "expert_map/expert_map.h"
#include "expert_map/full_placement.h"
#include "expert_map/placement.h"
#include "expert_map/popularity.h"
#include "expert_map/replica_weights.h"

namespace toucanhollow {
namespace {

struct PendingMap {
  ExpertMap map;
  double active_at = 0;
};

struct Totals {
  std::vector<double> skew;
  std::vector<double> load_skew;
  double gigabytes = 0;
  int changes = 0;
  double waiting = 0;
  double changing = 0;
};

TimePoint At(double seconds) {
  return TimePoint(Duration(std::llround(seconds * 1e6)));
}

double Percentile(std::vector<double> values, double part) {
  const auto index = static_cast<std::ptrdiff_t>(
      part * static_cast<double>(values.size() - 1));
  std::ranges::nth_element(values, values.begin() + index);
  return values[static_cast<std::size_t>(index)];
}

double MeanOf(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0) /
         static_cast<double>(values.size());
}

double SkewOf(const std::vector<double>& values) {
  return std::ranges::max(values) / MeanOf(values);
}

// The number of tokens out of many independent ones, by its normal limit.
double DrawCount(double expected, std::mt19937_64& random) {
  std::normal_distribution<double> noise(expected, std::sqrt(expected));
  return std::max(0.0, noise(random));
}

class GroupSimulation {
 public:
  GroupSimulation(const GroupParameters& group,
                  const PolicyParameters& policy,
                  std::uint64_t seed)
      : group(group),
        policy(policy),
        model(group.popularity, group.shape.experts, seed),
        // The same popularity with other draws of tokens.
        random(seed ^ 0x9e3779b97f4a7c15U),
        map(InitialMap(group.shape.ranks,
                       group.shape.experts,
                       group.shape.slots_per_rank)) {}

  SkewReport Run() {
    const double end = this->group.hours * 3600;
    double next_decision = 0;
    for (; this->now < end; this->now += this->group.sample_seconds) {
      this->model.Advance(this->group.sample_seconds);
      const std::vector<double> expected = this->ExpectedTokens();
      this->Observe(expected);
      this->ActivatePending();
      if (this->now >= next_decision) {
        this->Decide();
        next_decision += this->group.decision_seconds;
      }
      this->RunSteps(expected);
    }
    return this->Report();
  }

 private:
  // Tokens of each expert in a step.
  std::vector<double> ExpectedTokens() const {
    std::vector<double> expected = this->model.Shares();
    const double tokens = static_cast<double>(this->group.shape.ranks) *
                          this->group.tokens_per_rank *
                          this->group.experts_per_token;
    for (double& value : expected) {
      value *= tokens;
    }
    return expected;
  }

  // The engines count the tokens of all steps since the last sample.
  void Observe(const std::vector<double>& expected) {
    const double steps = this->group.sample_seconds * 1000 / this->StepMs();
    std::vector<double> sample;
    sample.reserve(expected.size());
    for (const double value : expected) {
      sample.push_back(DrawCount(value * steps, this->random) / steps);
    }
    this->popularity =
        AddPopularitySample(std::move(this->popularity), sample, At(this->now));
  }

  double StepMs() const { return this->group.fixed_ms + this->group.expert_ms; }

  double MsPerToken() const {
    return this->group.expert_ms /
           (this->group.tokens_per_rank * this->group.experts_per_token);
  }

  void ActivatePending() {
    if (!this->pending || this->now < this->pending->active_at) {
      return;
    }
    this->map = std::move(this->pending->map);
    this->pending.reset();
    this->totals.changing += this->group.pause_ms / 1000;
  }

  void Decide() {
    if (this->pending) {
      return;
    }
    std::optional<ExpertMap> wanted = this->WantedMap();
    if (!wanted) {
      return;
    }
    const double gigabytes =
        static_cast<double>(CountExpertsToLoad(this->map, *wanted)) *
        this->group.expert_gigabytes;
    const double loading = gigabytes / this->group.store_gigabytes_per_second;
    this->totals.gigabytes += gigabytes;
    ++this->totals.changes;
    this->totals.changing += loading * this->group.loading_slowdown;
    this->last_change = this->now;
    this->pending = PendingMap{std::move(*wanted),
                               this->now + this->group.lead_seconds + loading};
  }

  ExpertMap Anew() const {
    return PlaceFromScratch(this->popularity.tokens_per_step,
                            this->group.shape.ranks,
                            this->group.shape.slots_per_rank);
  }

  ExpertMap NextPeriod() const {
    if (this->policy.policy == Policy::kPeriodMatched) {
      return MatchRanks(this->map, this->Anew());
    }
    return this->policy.policy == Policy::kPeriodWeighted
               ? BalanceReplicas(this->Anew(), this->popularity.tokens_per_step)
               : this->Anew();
  }

  std::optional<ExpertMap> WantedMap() const {
    // The first estimate needs a minute in all policies.
    if (this->now < 60) {
      return std::nullopt;
    }
    switch (this->policy.policy) {
      case Policy::kEvenLoad:
      case Policy::kNever:
        return std::nullopt;
      case Policy::kPeriod:
      case Policy::kPeriodMatched:
      case Policy::kPeriodWeighted:
        if (this->last_change &&
            this->now - *this->last_change < this->policy.period_seconds) {
          return std::nullopt;
        }
        return this->NextPeriod();
      case Policy::kThreshold:
        if (SkewOf(RankLoads(this->map, this->popularity.tokens_per_step)) <=
            this->policy.threshold) {
          return std::nullopt;
        }
        return this->Anew();
      case Policy::kPlanned:
        break;
    }
    PlacementPlan plan = PlanPlacement(
        this->map, this->popularity.tokens_per_step, this->Costs(),
        this->last_change ? std::optional(At(*this->last_change))
                          : std::nullopt,
        At(this->now));
    if (plan.verdict != PlacementPlan::Verdict::kMove) {
      return std::nullopt;
    }
    return std::move(plan.map);
  }

  PlacementCosts Costs() const {
    PlacementCosts costs;
    costs.ms_per_token = this->MsPerToken();
    costs.step_ms = this->StepMs();
    costs.pause_ms = this->group.pause_ms;
    costs.ms_per_expert_loaded = this->group.expert_gigabytes /
                                 this->group.store_gigabytes_per_second *
                                 this->group.loading_slowdown * 1000;
    return costs;
  }

  // Draws one step as the sample of all steps in the interval.
  void RunSteps(const std::vector<double>& expected) {
    const std::vector<double> load = this->DrawRankLoads(expected);
    std::vector<double> times;
    times.reserve(load.size());
    for (const double tokens : load) {
      times.push_back(this->group.fixed_ms + tokens * this->MsPerToken());
    }
    const double slowest = std::ranges::max(times);
    this->totals.skew.push_back(SkewOf(times));
    this->totals.load_skew.push_back(SkewOf(load));
    this->totals.waiting +=
        this->group.sample_seconds * (slowest - MeanOf(times)) / slowest;
  }

  std::vector<double> DrawRankLoads(const std::vector<double>& expected) {
    std::vector<double> load(static_cast<std::size_t>(this->group.shape.ranks),
                             0);
    if (this->policy.policy == Policy::kEvenLoad) {
      const double even =
          std::accumulate(expected.begin(), expected.end(), 0.0) /
          static_cast<double>(load.size());
      std::ranges::generate(load,
                            [&] { return DrawCount(even, this->random); });
      return load;
    }
    const RankShares shares = SharesOf(this->map, expected);
    for (std::size_t rank = 0; rank < load.size(); ++rank) {
      for (const double share : shares[rank]) {
        load[rank] += DrawCount(share, this->random);
      }
    }
    return load;
  }

  SkewReport Report() const {
    return {Percentile(this->totals.skew, 0.50),
            Percentile(this->totals.skew, 0.95),
            Percentile(this->totals.skew, 0.99),
            Percentile(this->totals.load_skew, 0.95),
            this->totals.gigabytes / this->group.hours,
            this->totals.changes / this->group.hours,
            this->totals.waiting / this->group.hours,
            this->totals.changing / this->group.hours};
  }

  GroupParameters group;
  PolicyParameters policy;
  PopularityModel model;
  std::mt19937_64 random;
  ExpertMap map;
  Popularity popularity;
  std::optional<PendingMap> pending;
  std::optional<double> last_change;
  double now = 0;
  Totals totals;
};

}  // namespace

SkewReport Simulate(const GroupParameters& group,
                    const PolicyParameters& policy,
                    std::uint64_t seed) {
  return GroupSimulation(group, policy, seed).Run();
}

}  // namespace toucanhollow
