// Simulates one group under one rebalancing policy.
#ifndef PLACEMENT_BENCH_SIMULATE_H_
#define PLACEMENT_BENCH_SIMULATE_H_

#include <cstdint>
#include <string>

#include "placement_bench/popularity_model.h"

namespace toucanhollow {

struct GroupShape {
  int ranks = 16;
  int experts = 64;
  // Above experts / ranks, so that hot experts can have replicas.
  int slots_per_rank = 5;
};

struct GroupParameters {
  GroupShape shape;
  PopularityParameters popularity;
  double hours = 4;
  // A step takes the fixed part, and the expert part in proportion to the
  // tokens of the rank; this much at the mean load.
  double fixed_ms = 15;
  double expert_ms = 15;
  int tokens_per_rank = 128;
  int experts_per_token = 8;
  // Weights of one expert in all layers.
  double expert_gigabytes = 1.5;
  // The weight store's rate for the group, and by how much a step slows while
  // weights load.
  double store_gigabytes_per_second = 4;
  double loading_slowdown = 0.1;
  double pause_ms = 100;
  double sample_seconds = 0.5;
  double decision_seconds = 10;
  // From decision to activation: the least lead, plus the loading.
  double lead_seconds = 10;
};

enum class Policy {
  kEvenLoad,        // no policy: the floor that random routing leaves
  kNever,           // the initial map
  kPeriod,          // placed anew every period
  kPeriodMatched,   // the same, with ranks renumbered to keep experts
  kPeriodWeighted,  // placed anew, with replicas weighted as planned
  kThreshold,       // placed anew when the estimated skew exceeds a threshold
  kPlanned,         // PlanPlacement
};

struct PolicyParameters {
  Policy policy = Policy::kNever;
  std::string name;
  double period_seconds = 120;
  // Slowest rank to mean by expert load.
  double threshold = 1.2;
};

struct SkewReport {
  // Slowest rank to mean over steps, by step time and by expert load.
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  double load_p95 = 0;
  double gigabytes_per_hour = 0;
  double changes_per_hour = 0;
  // Seconds per hour in which ranks wait for the slowest one, and that the
  // changes themselves cost.
  double waiting_seconds = 0;
  double changing_seconds = 0;
};

SkewReport Simulate(const GroupParameters& group,
                    const PolicyParameters& policy,
                    std::uint64_t seed);

}  // namespace toucanhollow

#endif  // PLACEMENT_BENCH_SIMULATE_H_
