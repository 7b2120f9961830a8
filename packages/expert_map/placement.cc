#include "expert_map/placement.h"

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

namespace toucanhollow {
namespace {

// How many of the most loaded ranks are tried for an improvement. One that
// cannot be relieved must not end the search for the others.
constexpr std::size_t kRanksTried = 3;

// The map under change, with its loads kept up to date.
struct Draft {
  ExpertMap map;
  std::span<const double> tokens;
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

double ShareOf(const Draft& draft, int expert) {
  return draft.tokens[expert] /
         static_cast<double>(draft.ranks_of_expert[expert].size());
}

// Weighs a rank's load so that the most loaded ranks dominate and relief of one
// of several equally loaded ranks still counts.
double Weigh(double load, double mean) {
  const double ratio = load / mean;
  const double square = ratio * ratio;
  const double fourth = square * square;
  return fourth * fourth;
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

// Replaces a replica of one expert, of which another stays, by a replica of
// another expert.
double GainOfReplacement(const Draft& draft,
                         const Replacement& replacement,
                         LoadChanges& changes) {
  const auto& [rank, dropped, added] = replacement;
  const auto& losing = draft.ranks_of_expert[dropped];
  const auto& gaining = draft.ranks_of_expert[added];
  if (losing.size() < 2 || dropped == added || Holds(draft, rank, added)) {
    return 0;
  }
  changes.by_rank.clear();
  const double old_dropped = ShareOf(draft, dropped);
  const double new_dropped =
      draft.tokens[dropped] / static_cast<double>(losing.size() - 1);
  for (const int holder : losing) {
    changes.Add(holder,
                holder == rank ? -old_dropped : new_dropped - old_dropped);
  }
  const double old_added = ShareOf(draft, added);
  const double new_added =
      draft.tokens[added] / static_cast<double>(gaining.size() + 1);
  for (const int holder : gaining) {
    changes.Add(holder, new_added - old_added);
  }
  changes.Add(rank, new_added);
  return changes.Gain(draft);
}

// Exchanges an expert of one rank for an expert of another.
double GainOfExchange(const Draft& draft,
                      const Replacement& here,
                      int there,
                      LoadChanges& changes) {
  if (Holds(draft, here.rank, here.added) ||
      Holds(draft, there, here.dropped)) {
    return 0;
  }
  changes.by_rank.clear();
  const double change =
      ShareOf(draft, here.added) - ShareOf(draft, here.dropped);
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
  const int experts = static_cast<int>(draft.tokens.size());
  for (const int expert : draft.map.experts_by_rank[hot]) {
    for (int rank = 0; rank < ranks; ++rank) {
      if (rank == hot) {
        continue;
      }
      for (const int other : draft.map.experts_by_rank[rank]) {
        const Replacement copy{rank, other, expert};
        KeepBetter(best, GainOfReplacement(draft, copy, changes), {copy});
        const Replacement here{hot, expert, other};
        KeepBetter(best, GainOfExchange(draft, here, rank, changes),
                   {here, {rank, other, expert}});
      }
    }
    for (int other = 0; other < experts; ++other) {
      const Replacement replacement{hot, expert, other};
      KeepBetter(best, GainOfReplacement(draft, replacement, changes),
                 {replacement});
    }
  }
  return best;
}

Draft MakeDraft(ExpertMap map, std::span<const double> tokens) {
  Draft draft{std::move(map), tokens, {}, {}, 0};
  draft.ranks_of_expert.resize(tokens.size());
  for (std::size_t rank = 0; rank < draft.map.experts_by_rank.size(); ++rank) {
    for (const int expert : draft.map.experts_by_rank[rank]) {
      draft.ranks_of_expert[expert].push_back(static_cast<int>(rank));
    }
  }
  draft.load = RankLoads(draft.map, tokens);
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
  const double slowest = std::ranges::max(draft.load);
  const double steps = ToMilliseconds(costs.horizon) / costs.step_ms;
  double best_net = 0;
  while (true) {
    const Move move = FindBestMove(draft);
    if (move.replacements.empty()) {
      break;
    }
    draft = Apply(draft, move);
    const std::size_t loads = CountLoads(current, draft.map);
    if (loads > costs.max_loads) {
      break;
    }
    const double benefit =
        (slowest - std::ranges::max(draft.load)) * costs.ms_per_token * steps;
    const double cost = costs.pause_ms + costs.cache_ms +
                        static_cast<double>(loads) * costs.ms_per_load;
    // Each prefix of the moves is a candidate; the best one needs few loads.
    const double net = benefit - costs.hysteresis * cost;
    if (net > best_net) {
      best_net = net;
      plan = {PlacementPlan::Verdict::kMove, draft.map, loads, benefit, cost};
    }
  }
  if (plan.verdict == PlacementPlan::Verdict::kMove && last_change &&
      now - *last_change < costs.min_interval) {
    plan.verdict = PlacementPlan::Verdict::kTooSoon;
  }
  return plan;
}

}  // namespace toucanhollow
