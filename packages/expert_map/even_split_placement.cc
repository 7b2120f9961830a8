#include "expert_map/even_split_placement.h"

#include <algorithm>
#include <initializer_list>
#include <numeric>
#include <utility>
#include <vector>

namespace toucanhollow {
namespace {

// How many of the most loaded ranks are tried for a move that reduces their
// load.
constexpr std::size_t kMaxRanksTried = 3;
// Limits the moves of one plan, per rank and set.
constexpr int kMaxMovesPerRank = 4;
// Smaller gains are rounding errors.
constexpr double kMinGain = 1e-6;

// Stands for no rank or no expert.
constexpr int kNone = -1;

// Moves a replica of the expert between ranks. Without `from`, a replica is
// added to `to`; without `to`, the replica on `from` is dropped.
struct Move {
  int expert = 0;
  int from = kNone;
  int to = kNone;
};

// The map of one set of layers under construction.
struct Draft {
  std::span<const double> tokens;
  EvenSplitPlacementLimits limits;
  std::vector<std::vector<int>> held;     // by rank
  std::vector<std::vector<int>> holders;  // by expert
  std::vector<int> added;  // by rank, relative to the current map
  std::vector<int>* experts_loaded = nullptr;  // by rank, over all sets
  const ExpertMap* current = nullptr;
  RankSlowdowns slowdowns;      // by rank
  std::vector<double> load;     // by rank, times its slowdown
  std::vector<double> penalty;  // by rank, from ImbalancePenalty
  double mean = 0;              // of the loads without slowdowns
  // Scratch space: by rank, the load that moves add, and the ranks affected.
  std::vector<double> load_change;
  std::vector<int> changed_ranks;
};

bool Contains(const std::vector<int>& list, int value) {
  return std::ranges::find(list, value) != list.end();
}

// The eighth power of a rank's load relative to the mean. The most loaded ranks
// dominate the sum over the ranks, and reducing the load of one of several
// equally loaded ranks still lowers it.
double ImbalancePenalty(double load, double mean) {
  const double ratio = load / mean;
  const double fourth = ratio * ratio * ratio * ratio;
  return fourth * fourth;
}

// True if the current map does not place the expert on the rank.
bool IsNew(const Draft& draft, int rank, int expert) {
  return !Contains(draft.current->experts_by_rank[rank], expert);
}

// True if the limits allow the rank to add `added` and drop `dropped`, which
// may be kNone.
bool IsAllowed(const Draft& draft, int rank, int added, int dropped) {
  const auto& held = draft.held[rank];
  const int size = static_cast<int>(held.size()) + (dropped == kNone ? 1 : 0);
  if (size > draft.limits.slots_per_rank || Contains(held, added)) {
    return false;
  }
  int new_experts = IsNew(draft, rank, added) ? 1 : 0;
  if (dropped != kNone && IsNew(draft, rank, dropped)) {
    --new_experts;
  }
  return draft.added[rank] + new_experts <= draft.limits.max_added_per_rank &&
         (new_experts <= 0 || (*draft.experts_loaded)[rank] + new_experts <=
                                  draft.limits.max_loads_per_rank);
}

void AddLoadChange(Draft& draft, int rank, double load) {
  if (!Contains(draft.changed_ranks, rank)) {
    draft.changed_ranks.push_back(rank);
  }
  draft.load_change[rank] += load * draft.slowdowns[rank];
}

// Adds the changes of load that the moves cause to the scratch space.
void AddLoadChanges(Draft& draft, std::span<const Move> moves) {
  for (const Move& move : moves) {
    const auto& holders = draft.holders[move.expert];
    const auto before = static_cast<double>(holders.size());
    const double after =
        before + (move.to == kNone ? 0 : 1) - (move.from == kNone ? 0 : 1);
    const double share_before = draft.tokens[move.expert] / before;
    const double share_after = draft.tokens[move.expert] / after;
    if (after != before) {
      for (const int holder : holders) {
        if (holder != move.from) {
          AddLoadChange(draft, holder, share_after - share_before);
        }
      }
    }
    if (move.from != kNone) {
      AddLoadChange(draft, move.from, -share_before);
    }
    if (move.to != kNone) {
      AddLoadChange(draft, move.to, share_after);
    }
  }
}

void ClearLoadChanges(Draft& draft) {
  for (const int rank : draft.changed_ranks) {
    draft.load_change[rank] = 0;
  }
  draft.changed_ranks.clear();
}

// How much the moves lower the sum of the ranks' penalties; negative if they
// raise it.
double Gain(Draft& draft, std::span<const Move> moves) {
  AddLoadChanges(draft, moves);
  double gain = 0;
  for (const int rank : draft.changed_ranks) {
    gain += draft.penalty[rank] -
            ImbalancePenalty(draft.load[rank] + draft.load_change[rank],
                             draft.mean);
  }
  ClearLoadChanges(draft);
  return gain;
}

// Counts an expert that the rank gains (`sign` 1) or drops (-1).
void UpdateAddedCount(Draft& draft, int rank, int expert, int sign) {
  if (IsNew(draft, rank, expert)) {
    draft.added[rank] += sign;
    (*draft.experts_loaded)[rank] += sign;
  }
}

void ApplyMoves(Draft& draft, std::span<const Move> moves) {
  AddLoadChanges(draft, moves);
  for (const int rank : draft.changed_ranks) {
    draft.load[rank] += draft.load_change[rank];
    draft.penalty[rank] = ImbalancePenalty(draft.load[rank], draft.mean);
  }
  ClearLoadChanges(draft);
  for (const Move& move : moves) {
    if (move.from != kNone) {
      std::erase(draft.held[move.from], move.expert);
      std::erase(draft.holders[move.expert], move.from);
      UpdateAddedCount(draft, move.from, move.expert, -1);
    }
    if (move.to != kNone) {
      draft.held[move.to].push_back(move.expert);
      draft.holders[move.expert].push_back(move.to);
      UpdateAddedCount(draft, move.to, move.expert, 1);
    }
  }
}

struct MoveCandidate {
  std::vector<Move> moves;
  double gain = 0;
};

// Replaces `best` by the moves if they gain more.
void UpdateBest(Draft& draft,
                MoveCandidate& best,
                std::initializer_list<Move> moves) {
  const double gain = Gain(draft, {moves.begin(), moves.size()});
  if (gain > best.gain + kMinGain) {
    best = {moves, gain};
  }
}

// The best drop, copy or exchange of an expert of the hot rank; no moves if
// none gains.
MoveCandidate FindMovesForRank(Draft& draft, int hot) {
  MoveCandidate best;
  const int ranks = static_cast<int>(draft.held.size());
  for (const int expert : draft.held[hot]) {
    if (draft.holders[expert].size() >= 2) {
      UpdateBest(draft, best, {{expert, hot, kNone}});
    }
    for (int rank = 0; rank < ranks; ++rank) {
      // A rank at or above the mean cannot take over load from the hot rank.
      if (rank == hot || draft.load[rank] >= draft.mean) {
        continue;
      }
      if (IsAllowed(draft, rank, expert, kNone)) {
        UpdateBest(draft, best, {{expert, kNone, rank}});
      }
      for (const int other : draft.held[rank]) {
        if (!IsAllowed(draft, rank, expert, other)) {
          continue;
        }
        if (draft.holders[other].size() >= 2) {
          UpdateBest(draft, best,
                     {{expert, kNone, rank}, {other, rank, kNone}});
        }
        if (draft.tokens[other] < draft.tokens[expert] &&
            IsAllowed(draft, hot, other, expert)) {
          UpdateBest(draft, best, {{expert, hot, rank}, {other, rank, hot}});
        }
      }
    }
  }
  return best;
}

Draft MakeDraft(const ExpertMap& current,
                std::span<const double> tokens,
                const EvenSplitPlacementLimits& limits,
                const RankSlowdowns& slowdowns,
                std::vector<int>& experts_loaded) {
  Draft draft;
  draft.slowdowns = slowdowns;
  draft.slowdowns.resize(current.experts_by_rank.size(), 1);
  draft.tokens = tokens;
  draft.limits = limits;
  draft.held = current.experts_by_rank;
  draft.holders.resize(tokens.size());
  draft.added.assign(draft.held.size(), 0);
  draft.load_change.assign(draft.held.size(), 0);
  draft.experts_loaded = &experts_loaded;
  draft.current = &current;
  for (std::size_t rank = 0; rank < draft.held.size(); ++rank) {
    for (const int expert : draft.held[rank]) {
      draft.holders[expert].push_back(static_cast<int>(rank));
    }
  }
  draft.load = RankLoads(current, tokens);
  draft.mean = std::accumulate(draft.load.begin(), draft.load.end(), 0.0) /
               static_cast<double>(std::max<std::size_t>(draft.load.size(), 1));
  for (std::size_t rank = 0; rank < draft.load.size(); ++rank) {
    draft.load[rank] *= draft.slowdowns[rank];
    draft.penalty.push_back(ImbalancePenalty(draft.load[rank], draft.mean));
  }
  return draft;
}

double ImbalanceRatio(const Draft& draft) {
  return draft.mean <= 0 ? 1 : std::ranges::max(draft.load) / draft.mean;
}

// The best moves for the most loaded rank that has any; no moves if none of the
// ranks tried does.
MoveCandidate FindMovesForMostLoadedRanks(Draft& draft) {
  std::vector<int> by_load(draft.load.size());
  std::iota(by_load.begin(), by_load.end(), 0);
  const std::size_t tried = std::min(kMaxRanksTried, by_load.size());
  std::ranges::partial_sort(
      by_load, by_load.begin() + static_cast<std::ptrdiff_t>(tried),
      std::ranges::greater{}, [&](int rank) { return draft.load[rank]; });
  MoveCandidate best;
  for (std::size_t i = 0; i < tried && best.moves.empty(); ++i) {
    best = FindMovesForRank(draft, by_load[i]);
  }
  return best;
}

}  // namespace

double LoadImbalanceRatio(const ExpertMap& map,
                          std::span<const double> expert_load,
                          const RankSlowdowns& slowdowns) {
  std::vector<double> loads = RankLoads(map, expert_load);
  const double sum = std::accumulate(loads.begin(), loads.end(), 0.0);
  if (loads.empty() || sum <= 0) {
    return 1;
  }
  for (std::size_t rank = 0; rank < std::min(loads.size(), slowdowns.size());
       ++rank) {
    loads[rank] *= slowdowns[rank];
  }
  return std::ranges::max(loads) * static_cast<double>(loads.size()) / sum;
}

LayerSetMaps PlanEvenSplitMaps(
    const LayerSetMaps& current,
    const std::vector<std::vector<double>>& expert_load,
    const EvenSplitPlacementLimits& limits,
    const RankSlowdowns& slowdowns) {
  std::vector<int> experts_loaded(
      current.empty() ? 0 : current.front().experts_by_rank.size(), 0);
  std::vector<Draft> drafts;
  for (std::size_t set = 0; set < current.size(); ++set) {
    drafts.push_back(MakeDraft(current[set], expert_load[set], limits,
                               slowdowns, experts_loaded));
  }
  std::vector<bool> done(drafts.size(), false);
  const std::size_t max_moves =
      kMaxMovesPerRank * experts_loaded.size() * drafts.size();
  for (std::size_t move = 0; move < max_moves; ++move) {
    std::size_t worst = drafts.size();
    for (std::size_t set = 0; set < drafts.size(); ++set) {
      const double ratio = ImbalanceRatio(drafts[set]);
      if (!done[set] && ratio > limits.acceptable_imbalance_ratio &&
          (worst == drafts.size() || ratio > ImbalanceRatio(drafts[worst]))) {
        worst = set;
      }
    }
    if (worst == drafts.size()) {
      break;
    }
    const MoveCandidate candidate = FindMovesForMostLoadedRanks(drafts[worst]);
    done[worst] = candidate.moves.empty();
    ApplyMoves(drafts[worst], candidate.moves);
  }
  LayerSetMaps planned;
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
