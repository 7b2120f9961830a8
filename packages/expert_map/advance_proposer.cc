#include "expert_map/advance_proposer.h"

#include <numeric>
#include <utility>

namespace toucanhollow {
namespace {

// Mean tokens per step of each expert since the last counts. Empty if the
// counts cannot be compared or the engine was idle.
std::vector<double> SampleSince(const std::optional<ExpertCounts>& before,
                                const ExpertCounts& counts) {
  if (!before || before->engine != counts.engine ||
      before->tokens.size() != counts.tokens.size() ||
      counts.step <= before->step) {
    return {};
  }
  const auto steps = static_cast<double>(counts.step - before->step);
  std::vector<double> sample;
  for (std::size_t i = 0; i < counts.tokens.size(); ++i) {
    sample.push_back(static_cast<double>(counts.tokens[i] - before->tokens[i]) /
                     steps);
  }
  // The counts of an idle engine say nothing about popularity.
  const double total = std::accumulate(sample.begin(), sample.end(), 0.0);
  return total > 0 ? sample : std::vector<double>();
}

bool IsUsable(const ModelGroupShape& shape, const ExpertCounts& counts) {
  return shape.ranks > 1 && shape.experts > 0 &&
         static_cast<int>(counts.tokens.size()) == shape.experts &&
         shape.slots_per_rank <= shape.experts &&
         shape.ranks * shape.slots_per_rank >= shape.experts;
}

PlacementCosts CostsOf(const Proposer& proposer,
                       const ModelGroupShape& shape,
                       const ExpertCounts& counts) {
  PlacementCosts costs = proposer.costs;
  costs.step_ms = ToMilliseconds(counts.step_time);
  const std::vector<double>& tokens = proposer.popularity.tokens_per_step;
  const double mean_rank_tokens =
      std::accumulate(tokens.begin(), tokens.end(), 0.0) / shape.ranks;
  costs.ms_per_token =
      costs.step_ms * kExpertFractionOfStepTime / mean_rank_tokens;
  return costs;
}

}  // namespace

ProposerStep AdvanceProposer(Proposer proposer,
                             const MapFold& fold,
                             const ModelGroupShape& shape,
                             const MapLogStatus& log,
                             const ExpertCounts& counts,
                             TimePoint now) {
  ProposerStep step{std::move(proposer), std::nullopt};
  Proposer& state = step.proposer;
  const std::vector<double> sample = SampleSince(state.last_counts, counts);
  state.last_counts = counts;
  if (!sample.empty()) {
    state.popularity =
        AddPopularitySample(std::move(state.popularity), sample, now);
  }
  const GroupMaps maps = MapsOfGroup(fold, shape.group);
  const MapVersion& current = CurrentMap(maps);
  if (std::exchange(state.last_seen_version, current.version) !=
      current.version) {
    state.last_change = now;
    state.worthwhile_since.reset();
  }
  if (!IsUsable(shape, counts) || counts.step_time <= Duration(0) ||
      static_cast<int>(state.popularity.tokens_per_step.size()) !=
          shape.experts) {
    return step;
  }
  // The log does not contain the initial map of a group.
  const ExpertMap map =
      IsCompleteMap(current.map, shape.experts)
          ? current.map
          : InitialMap(shape.ranks, shape.experts, shape.slots_per_rank);
  const PlacementPlan plan =
      PlanPlacement(map, state.popularity.tokens_per_step,
                    CostsOf(state, shape, counts), state.last_change, now);
  if (plan.verdict != PlacementPlan::Verdict::kMove) {
    state.worthwhile_since.reset();
    return step;
  }
  if (!state.worthwhile_since) {
    state.worthwhile_since = now;
  }
  if (now - *state.worthwhile_since < state.rank * kProposerStagger) {
    return step;
  }
  GroupStatus group;
  group.group = shape.group;
  group.ranks = shape.ranks;
  group.step = counts.step;
  group.step_time = counts.step_time;
  group.staging_time = static_cast<int>(plan.experts_to_load) * kExpertLoadTime;
  Result<ProposeRecord> proposal = ProposeChange(
      fold, group, log, plan.map,
      state.process.value + "-" + std::to_string(counts.engine.value) + "-" +
          std::to_string(state.proposal_count + 1),
      state.process);
  if (proposal) {
    ++state.proposal_count;
    state.last_change = now;
    state.worthwhile_since.reset();
    step.proposal = std::move(proposal).value();
  }
  return step;
}

}  // namespace toucanhollow
