#include "map_task/demand.h"

#include <cmath>
#include <cstddef>

namespace toucanhollow {
namespace {

using Table = std::vector<std::vector<double>>;

bool SameShape(const Table& left, const Table& right) {
  if (left.size() != right.size()) {
    return false;
  }
  for (std::size_t set = 0; set < left.size(); ++set) {
    if (left[set].size() != right[set].size()) {
      return false;
    }
  }
  return true;
}

// False if any counter fell, as it does when a rank starts anew.
bool Grew(const Table& before, const Table& after) {
  for (std::size_t set = 0; set < after.size(); ++set) {
    for (std::size_t expert = 0; expert < after[set].size(); ++expert) {
      if (after[set][expert] < before[set][expert]) {
        return false;
      }
    }
  }
  return true;
}

// Adds what the counters grew by, and returns the sum.
double AddGrowth(Table& sums, const Table& before, const Table& after) {
  double total = 0;
  for (std::size_t set = 0; set < after.size(); ++set) {
    for (std::size_t i = 0; i < after[set].size(); ++i) {
      const double grown = after[set][i] - before[set][i];
      sums[set][i] += grown;
      total += grown;
    }
  }
  return total;
}

}  // namespace

void AddCounts(Demand& demand,
               const std::map<std::string, RankCounts>& counts,
               TimePoint now) {
  Table added;
  double total = 0;
  for (const auto& [server, present] : counts) {
    if (!SameShape(added, present.chosen)) {
      added = present.chosen;
      for (auto& set : added) {
        set.assign(set.size(), 0);
      }
    }
    const auto before = demand.last.find(server);
    if (before != demand.last.end() &&
        SameShape(before->second.chosen, present.chosen) &&
        Grew(before->second.chosen, present.chosen)) {
      total += AddGrowth(added, before->second.chosen, present.chosen);
    }
    demand.last.insert_or_assign(server, present);
  }
  if (total <= 0) {
    return;
  }
  const double half_lives =
      static_cast<double>((now - demand.updated_at).count()) /
      static_cast<double>(kDemandHalfLife.count());
  const double kept = std::exp2(-half_lives);
  demand.updated_at = now;
  if (!SameShape(demand.chosen, added)) {
    demand.chosen = std::move(added);
    return;
  }
  for (std::size_t set = 0; set < added.size(); ++set) {
    for (std::size_t i = 0; i < added[set].size(); ++i) {
      demand.chosen[set][i] = demand.chosen[set][i] * kept + added[set][i];
    }
  }
}

double DemandWeight(const Demand& demand) {
  double sum = 0;
  for (const auto& set : demand.chosen) {
    for (const double chosen : set) {
      sum += chosen;
    }
  }
  return sum;
}

}  // namespace toucanhollow
