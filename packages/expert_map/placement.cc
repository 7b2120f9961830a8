#include "expert_map/placement.h"

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

#include "expert_map/replica_weights.h"

namespace toucanhollow {
namespace {

// How many of the most loaded ranks are tried for an improvement. One that
// cannot be relieved must not end the search for the others.
constexpr std::size_t kRanksTried = 3;

// The map under change, with its replicas balanced.
struct Draft {
  ExpertMap map;
  std::span<const double> tokens;
  RankShares shares;
  std::vector<std::vector<int>> ranks_of_expert;
  std::vector<double> load;
  double mean = 0;
};

// On `rank`, `dropped` is replaced by `added`.
struct Replacement {
  int rank = 0;
  int dropped = 0;
  int added = 0;
};

// One or two replacements; two exchange experts between ranks.
struct Move {
  std::vector<Replacement> replacements;
  double gain = 0;
};

bool Holds(const Draft& draft, int rank, int expert) {
  return std::ranges::find(draft.map.experts_by_rank[rank], expert) !=
         draft.map.experts_by_rank[rank].end();
}

double ShareOf(const Draft& draft, int rank, int expert) {
  const auto& held = draft.map.experts_by_rank[rank];
  const auto slot = std::ranges::find(held, expert) - held.begin();
  return draft.shares[rank][slot];
}

// Weighs a rank's load so that the most loaded ranks dominate and relief of one
// of several equally loaded ranks still counts.
double Weigh(double load, double mean) {
  const double ratio = load / mean;
  const double square = ratio * ratio;
  const double fourth = square * square;
  return fourth * fourth;
}

double UnevennessOf(const Draft& draft) {
  double sum = 0;
  for (const double load : draft.load) {
    sum += Weigh(load, draft.mean);
  }
  return sum;
}

// Changes of load by rank, a short list.
struct LoadChanges {
  std::vector<std::pair<int, double>> by_rank;

  void Add(int rank, double change) {
    for (auto& [known, sum] : this->by_rank) {
      if (known == rank) {
        sum += change;
        return;
      }
    }
    this->by_rank.emplace_back(rank, change);
  }

  // How much the weighed sum over the ranks falls.
  double Gain(const Draft& draft) const {
    double gain = 0;
    for (const auto& [rank, change] : this->by_rank) {
      gain += Weigh(draft.load[rank], draft.mean) -
              Weigh(draft.load[rank] + change, draft.mean);
    }
    return gain;
  }
};

// Copies an expert of the hot rank to another rank, in place of a replica of an
// expert that other ranks hold as well. The copy takes over what evens the two
// ranks; the tokens of the dropped replica go to its other holders.
double GainOfCopy(const Draft& draft,
                  int hot,
                  const Replacement& copy,
                  LoadChanges& changes) {
  const auto& holders = draft.ranks_of_expert[copy.dropped];
  if (holders.size() < 2 || Holds(draft, copy.rank, copy.added)) {
    return 0;
  }
  changes.by_rank.clear();
  const double dropped = ShareOf(draft, copy.rank, copy.dropped);
  double hot_load = draft.load[hot];
  for (const int holder : holders) {
    if (holder != copy.rank) {
      const double taken = dropped / static_cast<double>(holders.size() - 1);
      changes.Add(holder, taken);
      hot_load += holder == hot ? taken : 0;
    }
  }
  const double moved =
      std::clamp((hot_load - (draft.load[copy.rank] - dropped)) / 2, 0.0,
                 ShareOf(draft, hot, copy.added));
  changes.Add(copy.rank, moved - dropped);
  changes.Add(hot, -moved);
  return changes.Gain(draft);
}

// Exchanges an expert of one rank for an expert of another, with their shares.
double GainOfExchange(const Draft& draft,
                      const Replacement& here,
                      int there,
                      LoadChanges& changes) {
  if (Holds(draft, here.rank, here.added) ||
      Holds(draft, there, here.dropped)) {
    return 0;
  }
  changes.by_rank.clear();
  const double change = ShareOf(draft, there, here.added) -
                        ShareOf(draft, here.rank, here.dropped);
  changes.Add(here.rank, change);
  changes.Add(there, -change);
  return changes.Gain(draft);
}

void KeepBetter(Move& best, double gain, std::vector<Replacement> moves) {
  const double gain_per_load = gain / static_cast<double>(moves.size());
  // Differences below this are rounding.
  constexpr double kLeastGain = 1e-9;
  if (gain_per_load > best.gain + kLeastGain) {
    best = {std::move(moves), gain_per_load};
  }
}

// The move that relieves the rank most for each expert loaded.
Move FindMove(const Draft& draft, int hot) {
  Move best;
  LoadChanges changes;
  const int ranks = static_cast<int>(draft.load.size());
  for (const int expert : draft.map.experts_by_rank[hot]) {
    for (int rank = 0; rank < ranks; ++rank) {
      if (rank == hot) {
        continue;
      }
      for (const int other : draft.map.experts_by_rank[rank]) {
        const Replacement copy{rank, other, expert};
        KeepBetter(best, GainOfCopy(draft, hot, copy, changes), {copy});
        const Replacement here{hot, expert, other};
        KeepBetter(best, GainOfExchange(draft, here, rank, changes),
                   {here, {rank, other, expert}});
      }
    }
  }
  return best;
}

Draft MakeDraft(ExpertMap map, std::span<const double> tokens) {
  Draft draft{std::move(map), tokens, {}, {}, {}, 0};
  draft.shares = BalanceShares(draft.map, tokens);
  draft.ranks_of_expert.resize(tokens.size());
  for (std::size_t rank = 0; rank < draft.map.experts_by_rank.size(); ++rank) {
    for (const int expert : draft.map.experts_by_rank[rank]) {
      draft.ranks_of_expert[expert].push_back(static_cast<int>(rank));
    }
    draft.load.push_back(std::accumulate(draft.shares[rank].begin(),
                                         draft.shares[rank].end(), 0.0));
  }
  draft.mean = std::accumulate(draft.load.begin(), draft.load.end(), 0.0) /
               static_cast<double>(draft.load.size());
  return draft;
}

Draft Apply(const Draft& draft, const Move& move) {
  ExpertMap map = draft.map;
  for (const Replacement& replacement : move.replacements) {
    auto& held = map.experts_by_rank[replacement.rank];
    std::ranges::replace(held, replacement.dropped, replacement.added);
    std::ranges::sort(held);
  }
  return MakeDraft(std::move(map), draft.tokens);
}

// The best move for one of the most loaded ranks.
Move FindBestMove(const Draft& draft) {
  std::vector<int> by_load(draft.load.size());
  std::iota(by_load.begin(), by_load.end(), 0);
  const std::size_t tried = std::min(kRanksTried, by_load.size());
  std::ranges::partial_sort(
      by_load, by_load.begin() + static_cast<std::ptrdiff_t>(tried),
      std::ranges::greater{}, [&](int rank) { return draft.load[rank]; });
  for (std::size_t i = 0; i < tried; ++i) {
    Move move = FindMove(draft, by_load[i]);
    if (!move.replacements.empty()) {
      return move;
    }
  }
  return {};
}

}  // namespace

PlacementPlan PlanPlacement(const ExpertMap& current,
                            std::span<const double> tokens_per_step,
                            const PlacementCosts& costs,
                            std::optional<TimePoint> last_change,
                            TimePoint now) {
  PlacementPlan plan;
  plan.map = current;
  Draft draft = MakeDraft(current, tokens_per_step);
  if (draft.load.empty() || draft.mean <= 0) {
    return plan;
  }
  const double slowest = std::ranges::max(RankLoads(current, tokens_per_step));
  const double steps = ToMilliseconds(costs.horizon) / costs.step_ms;
  double best_net = 0;
  std::size_t loads = 0;
  // Each prefix of the moves is a candidate, the first one with other weights
  // only; the best one needs few loads.
  while (loads <= costs.max_loads) {
    const double benefit =
        (slowest - std::ranges::max(draft.load)) * costs.ms_per_token * steps;
    const double cost = costs.pause_ms + costs.cache_ms +
                        static_cast<double>(loads) * costs.ms_per_load;
    const double net = benefit - costs.hysteresis * cost;
    if (net > best_net) {
      best_net = net;
      plan = {PlacementPlan::Verdict::kMove, draft.map, loads, benefit, cost};
    }
    const Move move = FindBestMove(draft);
    if (move.replacements.empty()) {
      break;
    }
    // Gains are estimated before the split is balanced again. A move that does
    // not hold its promise ends the search, since it could be undone and done
    // again without end.
    Draft next = Apply(draft, move);
    if (UnevennessOf(next) >= UnevennessOf(draft)) {
      break;
    }
    draft = std::move(next);
    loads = CountLoads(current, draft.map);
  }
  if (plan.verdict == PlacementPlan::Verdict::kMove) {
    plan.map = BalanceReplicas(std::move(plan.map), tokens_per_step);
  }
  if (plan.verdict == PlacementPlan::Verdict::kMove && last_change &&
      now - *last_change < costs.min_interval) {
    plan.verdict = PlacementPlan::Verdict::kTooSoon;
  }
  return plan;
}

}  // namespace toucanhollow
