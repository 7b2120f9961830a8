#include "expert_map/advance_proposer.h"

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

constexpr TimePoint kStart{Seconds(1000)};
ModelGroupShape MakeShape() {
  return {{"drafting"}, 2, 4, 3};
}

MapLogStatus HealthyLog() {
  MapLogStatus log;
  log.reachable = true;
  return log;
}

// An engine that runs 30 steps per second and counts the given tokens in each.
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
  TimePoint proposed_at;
};

// Runs the proposer for up to a minute with one sample per second, until it
// proposes a change.
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
    ProposerStep step = AdvanceProposer(std::move(proposer), fold, MakeShape(),
                                        log, engine.counts, now);
    proposer = std::move(step.proposer);
    if (step.proposal) {
      return {step.proposal, now};
    }
  }
  return {};
}

// In the initial map of this shape, only rank 0 holds expert 2.
std::vector<std::int64_t> SkewedTokens() {
  return {400, 10, 300, 10};
}
std::vector<std::int64_t> EvenTokens() {
  return {100, 100, 100, 100};
}

// Guards against a group that stays skewed because no agent proposes a change.
TEST_CASE("a proposal for a skewed group is based on the current version") {
  const Run run = RunMinute(0, SkewedTokens(), HealthyLog());
  REQUIRE(run.proposal.has_value());
  CHECK(run.proposal->base_version == 0);
  CHECK(run.proposal->ranks == 2);
  CHECK(IsCompleteMap(run.proposal->map, 4));
  // The lead time of 10 s is 333 steps of 30 ms.
  CHECK(run.proposal->activation_step >= 333);
}

// Guards against experts that are moved without a benefit.
TEST_CASE("no change is proposed for an evenly loaded group") {
  CHECK_FALSE(RunMinute(0, EvenTokens(), HealthyLog()).proposal.has_value());
}

// Guards against a change that is started while the log is slow or unreachable.
// The decision could then come too late, and the engines would hold before the
// activation step.
TEST_CASE("nothing is proposed while the log is slow or unreachable") {
  CHECK_FALSE(
      RunMinute(0, SkewedTokens(), MapLogStatus()).proposal.has_value());
  MapLogStatus slow = HealthyLog();
  slow.last_append = Seconds(2);
  CHECK_FALSE(RunMinute(0, SkewedTokens(), slow).proposal.has_value());
}

// Guards against all agents proposing at the same time.
TEST_CASE("each higher rank proposes one stagger interval later") {
  const Run first = RunMinute(0, SkewedTokens(), HealthyLog());
  const Run later = RunMinute(3, SkewedTokens(), HealthyLog());
  REQUIRE(later.proposal.has_value());
  CHECK(later.proposed_at - first.proposed_at == 3 * kProposerStagger);
}

// Guards against a second proposal while a change is open.
TEST_CASE("nothing is proposed while a change is open") {
  const Run run = RunMinute(0, SkewedTokens(), HealthyLog());
  MapEntry entry{1, {}, MakeShape().group, *run.proposal};
  const MapFold fold = FoldMapEntry(MapFold(), entry);
  MapLogStatus log = HealthyLog();
  log.end = 1;
  CHECK_FALSE(RunMinute(0, SkewedTokens(), log, fold).proposal.has_value());
}

}  // namespace
}  // namespace toucanhollow
