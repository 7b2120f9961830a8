#include "map_task/demand.h"

#include <cmath>
#include <utility>

#include "map_task/choice_delta.h"

namespace toucanhollow {
namespace {

// Adds the table to the sums and returns the total of the table.
double AddTable(ChoiceTable& sums, const ChoiceTable& table) {
  double total = 0;
  for (std::size_t set = 0; set < table.size(); ++set) {
    for (std::size_t expert = 0; expert < table[set].size(); ++expert) {
      sums[set][expert] += table[set][expert];
      total += table[set][expert];
    }
  }
  return total;
}

}  // namespace

void AddChoices(Demand& demand,
                const std::vector<ChoiceTable>& choices,
                TimePoint now) {
  ChoiceTable added;
  double total = 0;
  for (const ChoiceTable& table : choices) {
    if (!HasSameShape(added, table)) {
      added = table;
      for (auto& set : added) {
        set.assign(set.size(), 0);
      }
      total = 0;
    }
    total += AddTable(added, table);
  }
  if (total <= 0) {
    return;
  }
  const double half_lives =
      static_cast<double>((now - demand.updated_at).count()) /
      static_cast<double>(kDemandHalfLife.count());
  const double decay = std::exp2(-half_lives);
  demand.updated_at = now;
  if (!HasSameShape(demand.chosen, added)) {
    demand.chosen = std::move(added);
    return;
  }
  for (std::size_t set = 0; set < added.size(); ++set) {
    for (std::size_t i = 0; i < added[set].size(); ++i) {
      demand.chosen[set][i] = demand.chosen[set][i] * decay + added[set][i];
    }
  }
}

bool IsValidMapFor(const GroupMap& map, const ChoiceTable& chosen) {
  if (map.size() != chosen.size()) {
    return false;
  }
  for (std::size_t set = 0; set < map.size(); ++set) {
    if (map[set].experts_by_rank.size() != map.front().experts_by_rank.size() ||
        !IsCompleteMap(map[set], static_cast<int>(chosen[set].size()))) {
      return false;
    }
  }
  return true;
}

double TotalDemand(const Demand& demand) {
  double sum = 0;
  for (const auto& set : demand.chosen) {
    for (const double chosen : set) {
      sum += chosen;
    }
  }
  return sum;
}

}  // namespace toucanhollow
