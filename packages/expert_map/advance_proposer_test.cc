#include "expert_map/advance_proposer.h"

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

constexpr TimePoint kStart{Seconds(1000)};
ModelGroupShape Shape() {
  return {{"drafting"}, 2, 4, 3};
}

MapLogStatus HealthyLog() {
  MapLogStatus log;
  log.reachable = true;
  return log;
}

// An engine that counts the given tokens in each of 30 steps a second.
struct CountingEngine {
  ExpertCounts counts{Incarnation{1}, 0, Milliseconds(30), {0, 0, 0, 0}};

  void Run(const std::vector<std::int64_t>& tokens_per_step) {
    this->counts.step += 30;
    for (std::size_t i = 0; i < tokens_per_step.size(); ++i) {
      this->counts.tokens[i] += 30 * tokens_per_step[i];
    }
  }
};

struct Run {
  std::optional<ProposeRecord> proposal;
  TimePoint at;
};

// Runs for a minute with one sample a second.
Run RunMinute(int rank,
              const std::vector<std::int64_t>& tokens,
              const MapLogStatus& log,
              const MapFold& fold = MapFold()) {
  Proposer proposer;
  proposer.process = {"draft-1"};
  proposer.rank = rank;
  CountingEngine engine;
  for (int second = 0; second < 60; ++second) {
    const TimePoint now = kStart + Seconds(second);
    engine.Run(tokens);
    ProposerStep step = AdvanceProposer(std::move(proposer), fold, Shape(), log,
                                        engine.counts, now);
    proposer = std::move(step.proposer);
    if (step.proposal) {
      return {step.proposal, now};
    }
  }
  return {};
}

// In the initial map of this shape, rank 0 alone holds expert 2.
std::vector<std::int64_t> Skewed() {
  return {400, 10, 300, 10};
}
std::vector<std::int64_t> Even() {
  return {100, 100, 100, 100};
}

// Guards against a group that stays skewed because nobody proposes.
TEST_CASE("a skewed group gets a proposal on top of its current version") {
  const Run run = RunMinute(0, Skewed(), HealthyLog());
  REQUIRE(run.proposal.has_value());
  CHECK(run.proposal->base_version == 0);
  CHECK(run.proposal->ranks == 2);
  CHECK(IsCompleteMap(run.proposal->map, 4));
  // The lead of 10 s is 333 steps of 30 ms.
  CHECK(run.proposal->activation_step >= 333);
}

// Guards against weights that move without a benefit.
TEST_CASE("an even group is left alone") {
  CHECK_FALSE(RunMinute(0, Even(), HealthyLog()).proposal.has_value());
}

// Guards against a change that is begun while the log could leave the group
// holding at the activation step.
TEST_CASE("nothing is proposed while the log is slow or down") {
  CHECK_FALSE(RunMinute(0, Skewed(), MapLogStatus()).proposal.has_value());
  MapLogStatus slow = HealthyLog();
  slow.last_append = Seconds(2);
  CHECK_FALSE(RunMinute(0, Skewed(), slow).proposal.has_value());
}

// Guards against every agent proposing at once.
TEST_CASE("a higher rank waits for the lower ones") {
  const Run first = RunMinute(0, Skewed(), HealthyLog());
  const Run later = RunMinute(3, Skewed(), HealthyLog());
  REQUIRE(later.proposal.has_value());
  CHECK(later.at - first.at == 3 * kProposerStagger);
}

// Guards against a second proposal while one is open.
TEST_CASE("an open change is waited for") {
  const Run run = RunMinute(0, Skewed(), HealthyLog());
  MapEntry entry{1, {}, Shape().group, *run.proposal};
  const MapFold fold = FoldMapEntry(MapFold(), entry);
  MapLogStatus log = HealthyLog();
  log.end = 1;
  CHECK_FALSE(RunMinute(0, Skewed(), log, fold).proposal.has_value());
}

}  // namespace
}  // namespace toucanhollow
