#include "expert_map/placement.h"

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

#include "expert_map/replica_weights.h"

namespace toucanhollow {
namespace {

// How many of the most loaded ranks are tried for an improvement, so that one
// whose load cannot be reduced does not end the search for the others.
constexpr std::size_t kMaxRanksTried = 3;

// The map under construction, with balanced replicas.
struct Draft {
  ExpertMap map;
  std::span<const double> tokens;
  RankShares shares;
  std::vector<std::vector<int>> ranks_of_expert;
  std::vector<double> load;  // by rank
  double mean = 0;           // of `load`
};

// On `rank`, expert `dropped` is replaced by expert `added`.
struct Replacement {
  int rank = 0;
  int dropped = 0;
  int added = 0;
};

// One replacement, or two that exchange experts between ranks.
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

// The eighth power of a rank's load relative to the mean. The most loaded ranks
// dominate the sum over the ranks, and reducing the load of one of several
// equally loaded ranks still lowers it.
double ImbalancePenalty(double load, double mean) {
  const double ratio = load / mean;
  const double square = ratio * ratio;
  const double fourth = square * square;
  return fourth * fourth;
}

// The sum of the ranks' penalties.
double ImbalanceOf(const Draft& draft) {
  double sum = 0;
  for (const double load : draft.load) {
    sum += ImbalancePenalty(load, draft.mean);
  }
  return sum;
}

// The change of load of each affected rank; a short list.
struct LoadChanges {
  std::vector<std::pair<int, double>> by_rank;

  void Add(int rank, double change) {
    for (auto& [existing_rank, sum] : this->by_rank) {
      if (existing_rank == rank) {
        sum += change;
        return;
      }
    }
    this->by_rank.emplace_back(rank, change);
  }

  // How much the sum of the ranks' penalties falls.
  double Gain(const Draft& draft) const {
    double gain = 0;
    for (const auto& [rank, change] : this->by_rank) {
      gain += ImbalancePenalty(draft.load[rank], draft.mean) -
              ImbalancePenalty(draft.load[rank] + change, draft.mean);
    }
    return gain;
  }
};

// The gain from copying an expert of the hot rank to another rank, in place of
// a replica of an expert that other ranks hold as well. The copy receives the
// tokens that balance the two ranks; those of the dropped replica go to its
// other holders. 0 if the copy is not possible.
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
      const double transferred =
          dropped / static_cast<double>(holders.size() - 1);
      changes.Add(holder, transferred);
      hot_load += holder == hot ? transferred : 0;
    }
  }
  const double moved =
      std::clamp((hot_load - (draft.load[copy.rank] - dropped)) / 2, 0.0,
                 ShareOf(draft, hot, copy.added));
  changes.Add(copy.rank, moved - dropped);
  changes.Add(hot, -moved);
  return changes.Gain(draft);
}

// The gain from exchanging an expert of one rank for an expert of another, with
// their shares of the tokens. 0 if the exchange is not possible.
double GainOfExchange(const Draft& draft,
                      const Replacement& exchange,
                      int other_rank,
                      LoadChanges& changes) {
  if (Holds(draft, exchange.rank, exchange.added) ||
      Holds(draft, other_rank, exchange.dropped)) {
    return 0;
  }
  changes.by_rank.clear();
  const double change = ShareOf(draft, other_rank, exchange.added) -
                        ShareOf(draft, exchange.rank, exchange.dropped);
  changes.Add(exchange.rank, change);
  changes.Add(other_rank, -change);
  return changes.Gain(draft);
}

void UpdateBestMove(Move& best, double gain, std::vector<Replacement> moves) {
  const double gain_per_load = gain / static_cast<double>(moves.size());
  // Smaller differences are rounding errors.
  constexpr double kMinGain = 1e-9;
  if (gain_per_load > best.gain + kMinGain) {
    best = {std::move(moves), gain_per_load};
  }
}

// The move that gains most per expert loaded by reducing the load of the rank.
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
        UpdateBestMove(best, GainOfCopy(draft, hot, copy, changes), {copy});
        const Replacement exchange{hot, expert, other};
        UpdateBestMove(best, GainOfExchange(draft, exchange, rank, changes),
                       {exchange, {rank, other, expert}});
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

Draft ApplyMove(const Draft& draft, const Move& move) {
  ExpertMap map = draft.map;
  for (const Replacement& replacement : move.replacements) {
    auto& held = map.experts_by_rank[replacement.rank];
    std::ranges::replace(held, replacement.dropped, replacement.added);
    std::ranges::sort(held);
  }
  return MakeDraft(std::move(map), draft.tokens);
}

// The best move for the most loaded rank that has one; no replacements if none
// of the ranks tried does.
Move FindBestMove(const Draft& draft) {
  std::vector<int> by_load(draft.load.size());
  std::iota(by_load.begin(), by_load.end(), 0);
  const std::size_t tried = std::min(kMaxRanksTried, by_load.size());
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
  std::size_t experts_to_load = 0;
  // Each prefix of the sequence of moves is a candidate. The first has no moves
  // and changes only the replica weights. The best one loads few experts.
  while (experts_to_load <= costs.max_experts_to_load) {
    const double benefit =
        (slowest - std::ranges::max(draft.load)) * costs.ms_per_token * steps;
    const double cost =
        costs.pause_ms + costs.cache_loss_ms +
        static_cast<double>(experts_to_load) * costs.ms_per_expert_loaded;
    const double net = benefit - costs.hysteresis * cost;
    if (net > best_net) {
      best_net = net;
      plan = {PlacementPlan::Verdict::kMove, draft.map, experts_to_load,
              benefit, cost};
    }
    const Move move = FindBestMove(draft);
    if (move.replacements.empty()) {
      break;
    }
    // Gains are estimated before the split is balanced again. A move that does
    // not reduce the imbalance afterwards ends the search, since the search
    // could otherwise undo and repeat it forever.
    Draft next = ApplyMove(draft, move);
    if (ImbalanceOf(next) >= ImbalanceOf(draft)) {
      break;
    }
    draft = std::move(next);
    experts_to_load = CountExpertsToLoad(current, draft.map);
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
