#include "expert_map/even_split_placement.h"

#include <algorithm>
#include <initializer_list>
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

constexpr int kNobody = -1;

// The expert leaves one rank and comes to another; a copy leaves nobody, and a
// copy that is dropped comes to nobody.
struct Move {
  int expert = 0;
  int from = kNobody;
  int to = kNobody;
};

struct Draft {
  std::span<const double> tokens;
  EvenPlacementLimits limits;
  std::vector<std::vector<int>> held;     // by rank
  std::vector<std::vector<int>> holders;  // by expert
  std::vector<int> added;                 // by rank, against the current map
  std::vector<int>* loads = nullptr;      // by rank, of all sets
  const ExpertMap* current = nullptr;
  RankPaces paces;             // by rank
  std::vector<double> load;    // by rank, times its pace
  std::vector<double> weight;  // by rank, as Weigh gives it
  double mean = 0;             // of the loads at a usual pace
  // Scratch: what moves add to the load of the touched ranks.
  std::vector<double> shift;
  std::vector<int> touched;
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

// True if the rank may take `added` and drop `dropped`, which may be kNobody.
bool IsAllowed(const Draft& draft, int rank, int added, int dropped) {
  const auto& held = draft.held[rank];
  const int size = static_cast<int>(held.size()) + (dropped == kNobody ? 1 : 0);
  if (size > draft.limits.places || Contains(held, added)) {
    return false;
  }
  int more = IsNew(draft, rank, added) ? 1 : 0;
  if (dropped != kNobody && IsNew(draft, rank, dropped)) {
    --more;
  }
  return draft.added[rank] + more <= draft.limits.spare &&
         (more <= 0 ||
          (*draft.loads)[rank] + more <= draft.limits.loads_per_rank);
}

void Shift(Draft& draft, int rank, double load) {
  if (!Contains(draft.touched, rank)) {
    draft.touched.push_back(rank);
  }
  draft.shift[rank] += load * draft.paces[rank];
}

// Adds what the moves change to the scratch.
void ShiftAll(Draft& draft, std::span<const Move> moves) {
  for (const Move& move : moves) {
    const auto& holders = draft.holders[move.expert];
    const auto before = static_cast<double>(holders.size());
    const double after =
        before + (move.to == kNobody ? 0 : 1) - (move.from == kNobody ? 0 : 1);
    const double share_before = draft.tokens[move.expert] / before;
    const double share_after = draft.tokens[move.expert] / after;
    if (after != before) {
      for (const int holder : holders) {
        if (holder != move.from) {
          Shift(draft, holder, share_after - share_before);
        }
      }
    }
    if (move.from != kNobody) {
      Shift(draft, move.from, -share_before);
    }
    if (move.to != kNobody) {
      Shift(draft, move.to, share_after);
    }
  }
}

void ClearShift(Draft& draft) {
  for (const int rank : draft.touched) {
    draft.shift[rank] = 0;
  }
  draft.touched.clear();
}

// How far the unevenness falls by the moves; negative if it rises.
double Gain(Draft& draft, std::span<const Move> moves) {
  ShiftAll(draft, moves);
  double gain = 0;
  for (const int rank : draft.touched) {
    gain += draft.weight[rank] -
            Weigh(draft.load[rank] + draft.shift[rank], draft.mean);
  }
  ClearShift(draft);
  return gain;
}

void CountAdded(Draft& draft, int rank, int expert, int sign) {
  if (IsNew(draft, rank, expert)) {
    draft.added[rank] += sign;
    (*draft.loads)[rank] += sign;
  }
}

void Apply(Draft& draft, std::span<const Move> moves) {
  ShiftAll(draft, moves);
  for (const int rank : draft.touched) {
    draft.load[rank] += draft.shift[rank];
    draft.weight[rank] = Weigh(draft.load[rank], draft.mean);
  }
  ClearShift(draft);
  for (const Move& move : moves) {
    if (move.from != kNobody) {
      std::erase(draft.held[move.from], move.expert);
      std::erase(draft.holders[move.expert], move.from);
      CountAdded(draft, move.from, move.expert, -1);
    }
    if (move.to != kNobody) {
      draft.held[move.to].push_back(move.expert);
      draft.holders[move.expert].push_back(move.to);
      CountAdded(draft, move.to, move.expert, 1);
    }
  }
}

struct Best {
  std::vector<Move> moves;
  double gain = 0;
};

void Consider(Draft& draft, Best& best, std::initializer_list<Move> moves) {
  const double gain = Gain(draft, {moves.begin(), moves.size()});
  if (gain > best.gain + kLeastGain) {
    best = {moves, gain};
  }
}

// Copies of and exchanges for the experts of the hot rank.
Best FindBest(Draft& draft, int hot) {
  Best best;
  const int ranks = static_cast<int>(draft.held.size());
  for (const int expert : draft.held[hot]) {
    if (draft.holders[expert].size() >= 2) {
      Consider(draft, best, {{expert, hot, kNobody}});
    }
    for (int rank = 0; rank < ranks; ++rank) {
      // A rank above the mean cannot take a part of the hot rank's load.
      if (rank == hot || draft.load[rank] >= draft.mean) {
        continue;
      }
      if (IsAllowed(draft, rank, expert, kNobody)) {
        Consider(draft, best, {{expert, kNobody, rank}});
      }
      for (const int other : draft.held[rank]) {
        if (!IsAllowed(draft, rank, expert, other)) {
          continue;
        }
        if (draft.holders[other].size() >= 2) {
          Consider(draft, best,
                   {{expert, kNobody, rank}, {other, rank, kNobody}});
        }
        if (draft.tokens[other] < draft.tokens[expert] &&
            IsAllowed(draft, hot, other, expert)) {
          Consider(draft, best, {{expert, hot, rank}, {other, rank, hot}});
        }
      }
    }
  }
  return best;
}

Draft MakeDraft(const ExpertMap& current,
                std::span<const double> tokens,
                const EvenPlacementLimits& limits,
                const RankPaces& paces,
                std::vector<int>& loads) {
  Draft draft;
  draft.paces = paces;
  draft.paces.resize(current.experts_by_rank.size(), 1);
  draft.tokens = tokens;
  draft.limits = limits;
  draft.held = current.experts_by_rank;
  draft.holders.resize(tokens.size());
  draft.added.assign(draft.held.size(), 0);
  draft.shift.assign(draft.held.size(), 0);
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
  for (std::size_t rank = 0; rank < draft.load.size(); ++rank) {
    draft.load[rank] *= draft.paces[rank];
    draft.weight.push_back(Weigh(draft.load[rank], draft.mean));
  }
  return draft;
}

double Ratio(const Draft& draft) {
  return draft.mean <= 0 ? 1 : std::ranges::max(draft.load) / draft.mean;
}

// The best relief for one of the most loaded ranks; no moves if there is none.
Best FindRelief(Draft& draft) {
  std::vector<int> by_load(draft.load.size());
  std::iota(by_load.begin(), by_load.end(), 0);
  const std::size_t tried = std::min(kRanksTried, by_load.size());
  std::ranges::partial_sort(
      by_load, by_load.begin() + static_cast<std::ptrdiff_t>(tried),
      std::ranges::greater{}, [&](int rank) { return draft.load[rank]; });
  Best best;
  for (std::size_t i = 0; i < tried && best.moves.empty(); ++i) {
    best = FindBest(draft, by_load[i]);
  }
  return best;
}

}  // namespace

double LoadRatio(const ExpertMap& map,
                 std::span<const double> expert_load,
                 const RankPaces& paces) {
  std::vector<double> loads = RankLoads(map, expert_load);
  const double sum = std::accumulate(loads.begin(), loads.end(), 0.0);
  if (loads.empty() || sum <= 0) {
    return 1;
  }
  for (std::size_t rank = 0; rank < std::min(loads.size(), paces.size());
       ++rank) {
    loads[rank] *= paces[rank];
  }
  return std::ranges::max(loads) * static_cast<double>(loads.size()) / sum;
}

SetMaps PlanEvenMaps(const SetMaps& current,
                     const std::vector<std::vector<double>>& expert_load,
                     const EvenPlacementLimits& limits,
                     const RankPaces& paces) {
  std::vector<int> loads(
      current.empty() ? 0 : current.front().experts_by_rank.size(), 0);
  std::vector<Draft> drafts;
  for (std::size_t set = 0; set < current.size(); ++set) {
    drafts.push_back(
        MakeDraft(current[set], expert_load[set], limits, paces, loads));
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
    done[worst] = relief.moves.empty();
    Apply(drafts[worst], relief.moves);
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
