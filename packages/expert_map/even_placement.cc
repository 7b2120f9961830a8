#include "expert_map/even_placement.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <utility>
#include <vector>

namespace toucanhollow {
namespace {

// Ranks that are tried for relief, the most loaded first.
constexpr std::size_t kRanksTried = 3;
// Moves of one plan at most, for each rank.
constexpr int kMovesPerRank = 4;
// Smaller gains are rounding.
constexpr double kLeastGain = 1e-6;

// On `rank`, `dropped` gives way to `added`; -1 means none.
struct Change {
  int rank = 0;
  int added = -1;
  int dropped = -1;
};

struct Draft {
  std::span<const double> tokens;
  EvenPlacementLimits limits;
  std::vector<std::vector<int>> held;     // by rank
  std::vector<std::vector<int>> holders;  // by expert
  std::vector<int> added;                 // by rank, against the current map
  std::vector<int>* loads = nullptr;      // by rank, of all sets
  const ExpertMap* current = nullptr;
  std::vector<double> load;  // by rank
  double mean = 0;
};

bool Contains(const std::vector<int>& list, int value) {
  return std::ranges::find(list, value) != list.end();
}

// Weighs a rank's load so that the most loaded ranks dominate and relief of one
// of several equally loaded ranks still counts.
double Weigh(double load, double mean) {
  const double ratio = load / mean;
  const double fourth = ratio * ratio * ratio * ratio;
  return fourth * fourth;
}

bool IsNew(const Draft& draft, int rank, int expert) {
  return !Contains(draft.current->experts_by_rank[rank], expert);
}

// True if the rank may take the expert and drop the other.
bool IsAllowed(const Draft& draft, const Change& change) {
  const auto& held = draft.held[change.rank];
  const int size = static_cast<int>(held.size()) + (change.added >= 0 ? 1 : 0) -
                   (change.dropped >= 0 ? 1 : 0);
  if (size > draft.limits.places ||
      (change.added >= 0 && Contains(held, change.added))) {
    return false;
  }
  int added = draft.added[change.rank];
  if (change.added >= 0 && IsNew(draft, change.rank, change.added)) {
    ++added;
  }
  if (change.dropped >= 0 && IsNew(draft, change.rank, change.dropped)) {
    --added;
  }
  const int more = added - draft.added[change.rank];
  return added <= draft.limits.spare &&
         (more <= 0 ||
          (*draft.loads)[change.rank] + more <= draft.limits.loads_per_rank);
}

void CountAdded(Draft& draft, int rank, int expert, int sign) {
  if (IsNew(draft, rank, expert)) {
    draft.added[rank] += sign;
    (*draft.loads)[rank] += sign;
  }
}

void Apply(Draft& draft, const Change& change) {
  auto& held = draft.held[change.rank];
  const auto spread = [&draft](int expert, double sign) {
    const auto& holders = draft.holders[expert];
    for (const int holder : holders) {
      draft.load[holder] +=
          sign * draft.tokens[expert] / static_cast<double>(holders.size());
    }
  };
  if (change.dropped >= 0) {
    spread(change.dropped, -1);
    std::erase(held, change.dropped);
    std::erase(draft.holders[change.dropped], change.rank);
    spread(change.dropped, 1);
    CountAdded(draft, change.rank, change.dropped, -1);
  }
  if (change.added >= 0) {
    spread(change.added, -1);
    held.push_back(change.added);
    draft.holders[change.added].push_back(change.rank);
    spread(change.added, 1);
    CountAdded(draft, change.rank, change.added, 1);
  }
}

Change Reverse(const Change& change) {
  return {change.rank, change.dropped, change.added};
}

double Unevenness(const Draft& draft) {
  double sum = 0;
  for (const double load : draft.load) {
    sum += Weigh(load, draft.mean);
  }
  return sum;
}

// How far the unevenness falls by the changes; negative if it rises.
double Gain(Draft& draft, std::span<const Change> changes) {
  const double before = Unevenness(draft);
  for (const Change& change : changes) {
    Apply(draft, change);
  }
  const double after = Unevenness(draft);
  for (std::size_t i = changes.size(); i > 0; --i) {
    Apply(draft, Reverse(changes[i - 1]));
  }
  return before - after;
}

struct Best {
  std::vector<Change> changes;
  double gain = 0;
};

void Consider(Draft& draft, Best& best, std::vector<Change> changes) {
  const double gain = Gain(draft, changes);
  if (gain > best.gain + kLeastGain) {
    best = {std::move(changes), gain};
  }
}

// Copies of and exchanges for the experts of the hot rank.
Best FindBest(Draft& draft, int hot) {
  Best best;
  const std::vector<int> hot_experts = draft.held[hot];
  const int ranks = static_cast<int>(draft.held.size());
  for (const int expert : hot_experts) {
    if (draft.holders[expert].size() >= 2) {
      const Change drop{hot, -1, expert};
      Consider(draft, best, {drop});
    }
    for (int rank = 0; rank < ranks; ++rank) {
      // A rank above the mean cannot take a part of the hot rank's load.
      if (rank == hot || draft.load[rank] >= draft.mean) {
        continue;
      }
      const Change copy{rank, expert, -1};
      if (IsAllowed(draft, copy)) {
        Consider(draft, best, {copy});
      }
      const std::vector<int> others = draft.held[rank];
      for (const int other : others) {
        const Change replace{rank, expert, other};
        if (!IsAllowed(draft, replace)) {
          continue;
        }
        if (draft.holders[other].size() >= 2) {
          Consider(draft, best, {replace});
        }
        const Change back{hot, other, expert};
        if (draft.tokens[other] < draft.tokens[expert] &&
            IsAllowed(draft, back)) {
          Consider(draft, best, {back, replace});
        }
      }
    }
  }
  return best;
}

Draft MakeDraft(const ExpertMap& current,
                std::span<const double> tokens,
                const EvenPlacementLimits& limits,
                std::vector<int>& loads) {
  Draft draft;
  draft.tokens = tokens;
  draft.limits = limits;
  draft.held = current.experts_by_rank;
  draft.holders.resize(tokens.size());
  draft.added.assign(draft.held.size(), 0);
  draft.loads = &loads;
  draft.current = &current;
  for (std::size_t rank = 0; rank < draft.held.size(); ++rank) {
    for (const int expert : draft.held[rank]) {
      draft.holders[expert].push_back(static_cast<int>(rank));
    }
  }
  draft.load = RankLoads(current, tokens);
  draft.mean = std::accumulate(draft.load.begin(), draft.load.end(), 0.0) /
               static_cast<double>(std::max<std::size_t>(draft.load.size(), 1));
  return draft;
}

double Ratio(const Draft& draft) {
  return draft.mean <= 0 ? 1 : std::ranges::max(draft.load) / draft.mean;
}

// The best relief for one of the most loaded ranks; no changes if there is
// none.
Best FindRelief(Draft& draft) {
  std::vector<int> by_load(draft.load.size());
  std::iota(by_load.begin(), by_load.end(), 0);
  const std::size_t tried = std::min(kRanksTried, by_load.size());
  std::ranges::partial_sort(
      by_load, by_load.begin() + static_cast<std::ptrdiff_t>(tried),
      std::ranges::greater{}, [&](int rank) { return draft.load[rank]; });
  Best best;
  for (std::size_t i = 0; i < tried && best.changes.empty(); ++i) {
    best = FindBest(draft, by_load[i]);
  }
  return best;
}

}  // namespace

double LoadRatio(const ExpertMap& map, std::span<const double> expert_load) {
  const std::vector<double> loads = RankLoads(map, expert_load);
  const double sum = std::accumulate(loads.begin(), loads.end(), 0.0);
  if (loads.empty() || sum <= 0) {
    return 1;
  }
  return std::ranges::max(loads) * static_cast<double>(loads.size()) / sum;
}

SetMaps PlanEvenMaps(const SetMaps& current,
                     const std::vector<std::vector<double>>& expert_load,
                     const EvenPlacementLimits& limits) {
  std::vector<int> loads(
      current.empty() ? 0 : current.front().experts_by_rank.size(), 0);
  std::vector<Draft> drafts;
  for (std::size_t set = 0; set < current.size(); ++set) {
    drafts.push_back(MakeDraft(current[set], expert_load[set], limits, loads));
  }
  std::vector<bool> done(drafts.size(), false);
  const std::size_t most_moves = kMovesPerRank * loads.size() * drafts.size();
  for (std::size_t move = 0; move < most_moves; ++move) {
    std::size_t worst = drafts.size();
    for (std::size_t set = 0; set < drafts.size(); ++set) {
      const double ratio = Ratio(drafts[set]);
      if (!done[set] && ratio > limits.good_ratio &&
          (worst == drafts.size() || ratio > Ratio(drafts[worst]))) {
        worst = set;
      }
    }
    if (worst == drafts.size()) {
      break;
    }
    const Best relief = FindRelief(drafts[worst]);
    done[worst] = relief.changes.empty();
    for (const Change& change : relief.changes) {
      Apply(drafts[worst], change);
    }
  }
  SetMaps planned;
  for (Draft& draft : drafts) {
    ExpertMap map;
    map.experts_by_rank = std::move(draft.held);
    for (auto& held : map.experts_by_rank) {
      std::ranges::sort(held);
    }
    planned.push_back(std::move(map));
  }
  return planned;
}

}  // namespace toucanhollow
