// Prints Markdown tables of step-time skew and of the cost of rebalancing, for
// each placement policy. Arguments: the seeds to simulate (default: kSeeds).

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "placement_bench/simulate.h"

namespace toucanhollow {
namespace {

// Seeds that are used if no arguments are given.
constexpr std::uint64_t kSeeds[] = {11, 23, 37, 41, 59};

// Mean, minimum and maximum over the seeds.
struct Spread {
  double sum = 0;
  double min = 0;
  double max = 0;
  int count = 0;

  void Add(double value) {
    this->min = this->count == 0 ? value : std::min(this->min, value);
    this->max = this->count == 0 ? value : std::max(this->max, value);
    this->sum += value;
    ++this->count;
  }
  std::string Format(int digits) const {
    char text[96];
    std::snprintf(text, sizeof text, "%.*f (%.*f-%.*f)", digits,
                  this->sum / this->count, digits, this->min, digits,
                  this->max);
    return text;
  }
};

std::vector<PolicyParameters> MakePolicies() {
  return {
      {Policy::kEvenLoad, "even load (floor)", 0, 0},
      {Policy::kNever, "never", 0, 0},
      {Policy::kPeriod, "period 120 s", 120, 0},
      {Policy::kPeriodMatched, "period 120 s, ranks matched", 120, 0},
      {Policy::kPeriod, "period 600 s", 600, 0},
      {Policy::kPeriodWeighted, "period 120 s, replicas weighted", 120, 0},
      {Policy::kThreshold, "threshold 1.2", 0, 1.2},
      {Policy::kPlanned, "planned (ours)", 0, 0},
  };
}

void PrintRow(const GroupParameters& group,
              const PolicyParameters& policy,
              const std::vector<std::uint64_t>& seeds) {
  Spread columns[8];
  for (const std::uint64_t seed : seeds) {
    const SkewReport report = Simulate(group, policy, seed);
    const double values[] = {report.p50,
                             report.p95,
                             report.p99,
                             report.load_p95,
                             report.gigabytes_per_hour,
                             report.changes_per_hour,
                             report.waiting_seconds,
                             report.changing_seconds};
    for (std::size_t i = 0; i < std::size(columns); ++i) {
      columns[i].Add(values[i]);
    }
  }
  std::printf("| %s |", policy.name.c_str());
  constexpr int kDigits[] = {3, 3, 3, 3, 0, 1, 0, 1};
  for (std::size_t i = 0; i < std::size(columns); ++i) {
    std::printf(" %s |", columns[i].Format(kDigits[i]).c_str());
  }
  std::printf("\n");
  std::fflush(stdout);
}

void PrintTable(const GroupShape& shape,
                const std::vector<std::uint64_t>& seeds) {
  GroupParameters group;
  group.shape = shape;
  std::printf(
      "\n%d ranks, %d experts, %d slots a rank; %zu seeds of %.0f h, mean "
      "(least-greatest):\n\n",
      shape.ranks, shape.experts, shape.slots_per_rank, seeds.size(),
      group.hours);
  std::printf(
      "| policy | skew p50 | p95 | p99 | expert load skew p95 | GB/h | "
      "changes/h | waiting s/h | changing s/h |\n"
      "|---|---|---|---|---|---|---|---|---|\n");
  for (const PolicyParameters& policy : MakePolicies()) {
    PrintRow(group, policy, seeds);
  }
}

}  // namespace
}  // namespace toucanhollow

int main(int argc, char** argv) {
  std::vector<std::uint64_t> seeds;
  for (int i = 1; i < argc; ++i) {
    seeds.push_back(std::strtoull(argv[i], nullptr, 10));
  }
  if (seeds.empty()) {
    seeds.assign(std::begin(toucanhollow::kSeeds),
                 std::end(toucanhollow::kSeeds));
  }
  toucanhollow::PrintTable({16, 64, 5}, seeds);
  toucanhollow::PrintTable({64, 128, 3}, seeds);
  return 0;
}
