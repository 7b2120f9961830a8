#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "expert_map/map_fold.h"
#include "expert_map/participant.h"
#include "expert_map/propose_change.h"

namespace toucanhollow {
namespace {

constexpr int kRanks = 3;
constexpr Duration kTestLead = Seconds(10);

ServiceName TestGroup() {
  return {"g1"};
}

ProposeRecord MakeProposal(StepNumber activation, ChangeOffset base = 0) {
  return {"c" + std::to_string(activation),
          base,
          InitialMap(kRanks, 6, 2),
          activation,
          kRanks,
          kTestLead,
          {"agent-0"}};
}

ConfirmRecord MakeConfirm(ChangeOffset change, int rank) {
  return {change, rank, Incarnation{1}, Incarnation{1}, 5};
}

struct TestLog {
  std::vector<MapEntry> entries;
  MapFold full_fold;

  template <typename Record>
  LogOffset Append(Record record) {
    const auto offset = static_cast<LogOffset>(this->entries.size() + 1);
    this->entries.push_back(
        {offset, WallTime(Seconds(offset)), TestGroup(), std::move(record)});
    this->full_fold =
        FoldMapEntry(std::move(this->full_fold), this->entries.back());
    return offset;
  }
  MapFold Fold(std::size_t from = 0) const {
    MapFold fold;
    for (std::size_t i = from; i < this->entries.size(); ++i) {
      fold = FoldMapEntry(std::move(fold), this->entries[i]);
    }
    return fold;
  }
  GroupMaps Maps() const { return MapsOfGroup(this->full_fold, TestGroup()); }
};

// An engine that can stage one change at a time; its hold belongs to that
// change. Fencing is optional, since not every engine rejects an old token.
struct TestEngine {
  MapEngineStatus status{Incarnation{1}, 0, 0, {}, {}};
  bool rejects_stale_tokens = false;
  ChangeOffset highest_token = 0;
  std::optional<StepNumber> activation;
  // The map version that each step ran on.
  std::map<StepNumber, ChangeOffset> version_by_step;

  bool IsRejected(ChangeOffset token) {
    this->highest_token = std::max(this->highest_token, token);
    return this->rejects_stale_tokens && token < this->highest_token;
  }
  void Execute(const MapOrder& order) {
    std::visit([this](const auto& known) { this->Apply(known); }, order);
  }
  void Apply(const StageOrder& order) {
    if (!this->IsRejected(order.change) && !this->status.staged &&
        this->status.version != order.change) {
      this->status.staged = order.change;
    }
  }
  void Apply(const HoldOrder& order) {
    if (!this->IsRejected(order.change) &&
        this->status.staged == order.change && this->status.step < order.step) {
      this->status.hold_step = order.step;
    }
  }
  void Apply(const ActivateOrder& order) {
    if (!this->IsRejected(order.change) &&
        this->status.staged == order.change && this->status.step < order.step) {
      this->activation = order.step;
      this->status.hold_step.reset();
    }
  }
  void Apply(const ContinueOrder& order) {
    if (!this->IsRejected(order.change) &&
        this->status.staged == order.change) {
      this->status.staged.reset();
      this->status.hold_step.reset();
      this->activation.reset();
    }
  }
  void Apply(const LoadOrder& order) {
    if (!this->status.version && order.engine == this->status.incarnation) {
      this->status.version = order.version.version;
      this->status.step = std::max(this->status.step, order.first_step - 1);
    }
  }
  void Restart() {
    this->status = {Incarnation{this->status.incarnation.value + 1},
                    this->status.step,
                    {},
                    {},
                    {}};
    this->activation.reset();
  }
  bool CanStep() const {
    return this->status.version &&
           this->status.hold_step != this->status.step + 1;
  }
  void Step() {
    const StepNumber step = ++this->status.step;
    if (this->activation == step) {
      this->status.version = this->status.staged;
      this->status.staged.reset();
      this->activation.reset();
    }
    this->version_by_step[step] = *this->status.version;
  }
};

Participant MakeReplayedParticipant(int rank) {
  Participant participant = MakeParticipant(TestGroup(), rank, Incarnation{1});
  participant.log_replayed = true;
  return participant;
}

// Guards against participants that derive different decisions from the log
// (I1).
TEST_CASE("the last confirm or the abort decides, whichever comes first") {
  const bool abort_first = GENERATE(true, false);
  TestLog log;
  const ChangeOffset change = log.Append(MakeProposal(100));
  log.Append(MakeConfirm(change, 0));
  log.Append(MakeConfirm(change, 1));
  log.Append(MakeConfirm(change, 1));
  CHECK(log.Maps().open);
  CHECK_FALSE(MapForStep(log.Maps(), 100));
  CHECK(MapForStep(log.Maps(), 99)->version == 0);
  if (abort_first) {
    log.Append(AbortRecord{change, "test"});
    log.Append(MakeConfirm(change, 2));
  } else {
    log.Append(MakeConfirm(change, 2));
    log.Append(AbortRecord{change, "test"});
  }
  const GroupMaps maps = log.Maps();
  CHECK(DecisionOf(maps, change)->committed != abort_first);
  CHECK(MapForStep(maps, 100)->version == (abort_first ? 0 : change));
  CHECK(MapForStep(maps, 99)->version == 0);
}

// Guards against two open changes, a change based on an old map, and two
// changes with the same activation step, since a delayed order for one would
// then apply to the other.
TEST_CASE("the fold accepts one proposal on the current map at a new step") {
  TestLog log;
  const ChangeOffset first = log.Append(MakeProposal(100));
  log.Append(MakeProposal(200));
  CHECK(log.Maps().open->offset == first);
  CHECK(log.Maps().void_proposals.back() == "c200");
  log.Append(AbortRecord{first, "test"});
  log.Append(MakeProposal(100));
  log.Append(MakeProposal(300, first));
  CHECK_FALSE(log.Maps().open);
  log.Append(MakeProposal(101));
  CHECK(log.Maps().open);
}

// Guards against a confirm while the engine has not staged the weights or does
// not hold.
TEST_CASE(
    "a confirm is appended only with staged weights and a hold in place") {
  TestLog log;
  const ChangeOffset change = log.Append(MakeProposal(100));
  Participant participant = MakeReplayedParticipant(0);
  MapEngineStatus engine{Incarnation{1}, 5, 0, {}, {}};
  const auto next = [&](TimePoint now) {
    ParticipantStep step =
        AdvanceParticipant(participant, log.Maps(), engine, now);
    participant = std::move(step.participant);
    return step.actions;
  };
  CHECK(next({}) == std::vector<ParticipantAction>{
                        MapOrder(StageOrder{change, MakeProposal(100).map})});
  CHECK(next({}).empty());
  CHECK(next(TimePoint(kMapRetryDelay)).size() == 1);
  engine.staged = change;
  CHECK(next({}) ==
        std::vector<ParticipantAction>{MapOrder(HoldOrder{change, 100})});
  engine.hold_step = 100;
  const auto actions = next({});
  REQUIRE(actions.size() == 1);
  CHECK(std::get<AppendConfirm>(actions[0]).record == MakeConfirm(change, 0));
  SECTION("no decision within half of the lead time") {
    const auto late = next(TimePoint(kTestLead / 2));
    REQUIRE(late.size() == 1);
    CHECK(std::holds_alternative<AppendAbort>(late[0]));
    // The hold stays until the abort is read, and no confirm is appended.
    CHECK(
        std::holds_alternative<AppendAbort>(next(TimePoint(kTestLead)).at(0)));
    log.Append(AbortRecord{change, "late"});
    CHECK(next(TimePoint(kTestLead)).at(0) ==
          ParticipantAction(MapOrder(ContinueOrder{change, 100})));
  }
  SECTION("the engine is replaced before the confirm is read") {
    engine.incarnation = Incarnation{2};
    CHECK(std::holds_alternative<AppendAbort>(next({}).at(0)));
  }
  SECTION("the engine is replaced after the confirm") {
    log.Append(MakeConfirm(change, 0));
    engine = MapEngineStatus{Incarnation{2}, 50, {}, {}, {}};
    CHECK(next({}).empty());
    for (const int rank : {1, 2}) {
      log.Append(MakeConfirm(change, rank));
    }
    // The committed change is staged and held before the engine can step.
    CHECK(next({}).at(0) == ParticipantAction(MapOrder(
                                StageOrder{change, MakeProposal(100).map})));
    engine.staged = change;
    CHECK(next({}).at(0) ==
          ParticipantAction(MapOrder(HoldOrder{change, 100})));
    engine.hold_step = 100;
    CHECK(next({}).at(0) == ParticipantAction(MapOrder(LoadOrder{
                                MapVersion{}, 51, engine.incarnation})));
    engine.version = 0;
    CHECK(next({}).at(0) ==
          ParticipantAction(MapOrder(ActivateOrder{change, 100})));
  }
}

// Guards against an engine that runs on a wrong map without being detected.
TEST_CASE("engine reports that contradict the log are detected") {
  TestLog log;
  const ChangeOffset change = log.Append(MakeProposal(100));
  for (int rank = 0; rank < kRanks; ++rank) {
    log.Append(MakeConfirm(change, rank));
  }
  const auto report = [&](const MapEngineStatus& engine) {
    const ParticipantStep step =
        AdvanceParticipant(MakeReplayedParticipant(0), log.Maps(), engine, {});
    return std::ranges::any_of(
        step.actions, [](const ParticipantAction& action) {
          return std::holds_alternative<ReportMapMismatch>(action);
        });
  };
  const Incarnation engine{1};
  CHECK_FALSE(report({engine, 99, 0, change, {}}));
  CHECK_FALSE(report({engine, 100, change, {}, {}}));
  CHECK(report({engine, 100, 0, {}, {}}));
  CHECK(report({engine, 99, change, {}, {}}));
  CHECK(report({engine, 99, 0, {}, 105}));
}

// Guards against an agent that acts before it has read the log or its engine's
// status.
TEST_CASE("an agent gives no order before the log is read") {
  TestLog log;
  log.Append(MakeProposal(100));
  Participant participant = MakeParticipant(TestGroup(), 0, Incarnation{2});
  TestEngine engine;
  CHECK(AdvanceParticipant(participant, log.Maps(), engine.status, {})
            .actions.empty());
  participant = ObserveMapLogEnd(participant, log.Fold(), 2);
  CHECK_FALSE(participant.log_replayed);
  participant = ObserveMapLogEnd(participant, log.Fold(), 1);
  CHECK_FALSE(AdvanceParticipant(participant, log.Maps(), engine.status, {})
                  .actions.empty());
}

// Guards against changes that are proposed while the log is slow or
// unreachable, by several ranks, or with too short a lead time.
TEST_CASE("a proposal needs a healthy log and all ranks alive") {
  const MapLogStatus healthy{true, Milliseconds(20), 0, Seconds(3600)};
  GroupStatus group{TestGroup(), kRanks, {0, 1, 2}, 1000, Milliseconds(31), {}};
  CHECK(IsProposer(group, 0));
  CHECK_FALSE(IsProposer(group, 1));
  group.alive_ranks = {1, 2};
  CHECK_FALSE(IsProposer(group, 1));
  const auto propose = [&](const MapFold& fold, const MapLogStatus& status) {
    return ProposeChange(fold, group, status, {}, "c", {"agent-0"});
  };
  const auto proposal = propose({}, healthy);
  REQUIRE(proposal);
  CHECK(proposal.value().activation_step >= 1000 + 10'000 / 31);
  group.staging_time = Seconds(8);
  CHECK(propose({}, healthy).value().lead == Seconds(32));
  const auto code = [&](const MapFold& fold, const MapLogStatus& status) {
    return propose(fold, status).error().code;
  };
  CHECK(code({}, {true, Milliseconds(1001), 0, {}}) ==
        ResultCode::kMapLogTooSlow);
  CHECK(code({}, {false, {}, 0, {}}) == ResultCode::kMapLogTooSlow);
  CHECK(code({}, {true, {}, 1, {}}) == ResultCode::kMapBaseVersionStale);
  TestLog log;
  log.Append(MakeProposal(2000));
  CHECK(code(log.Fold(), {true, {}, 1, {}}) == ResultCode::kMapChangeOpen);
}

// Guards against losing the current map when the log drops the records that
// contain it.
TEST_CASE("a refresh restores the current map after a gap in the log") {
  TestLog log;
  const ChangeOffset change = log.Append(MakeProposal(100));
  for (int rank = 0; rank < kRanks; ++rank) {
    log.Append(MakeConfirm(change, rank));
  }
  const Duration retention = Seconds(4000);
  const GroupStatus group{TestGroup(), kRanks, {0, 1, 2}, 200, {}, {}};
  const auto plan = [&](int rank, std::int64_t second) {
    return PlanMapRefresh(log.Fold(), group, {true, {}, 4, retention}, rank,
                          WallTime(Seconds(second)));
  };
  CHECK_FALSE(plan(0, 1003));
  CHECK(plan(0, 1004));
  CHECK_FALSE(plan(1, 1004));
  const auto refresh = plan(1, 1008);
  REQUIRE(refresh);
  const ChangeOffset next = log.Append(MakeProposal(300, change));
  log.Append(*refresh);
  log.Append(MakeConfirm(next, 0));
  for (std::size_t from = 0; from < 7; ++from) {
    INFO(from);
    const GroupMaps maps = MapsOfGroup(log.Fold(from), TestGroup());
    // If reading starts after the `as_of` of the refresh, the state is unknown.
    REQUIRE(maps.known == (from <= 4));
    if (maps.known) {
      CHECK(CurrentMap(maps) == CurrentMap(log.Maps()));
      CHECK(maps.open == log.Maps().open);
    } else {
      CHECK_FALSE(MapForStep(maps, 200));
    }
  }
}

// Guards invariant I1 under random faults: pauses, lost and delayed appends,
// repeated stale orders, and restarts of engines and agents. In every step, all
// ranks must run on the same map, and the group must not stall forever.
TEST_CASE("all ranks run the same map in every step under random faults") {
  const bool rejects_stale_tokens = GENERATE(true, false);
  int committed = 0;
  int aborted = 0;
  for (unsigned seed = 0; seed < 200; ++seed) {
    std::mt19937_64 random(seed);
    const auto draw = [&](std::size_t bound) { return random() % bound; };
    TestLog log;
    std::vector<Participant> agents;
    std::vector<TestEngine> engines(kRanks);
    std::vector<std::size_t> read(kRanks, 0);
    std::vector<MapFold> folds(kRanks);
    std::vector<std::vector<MapOrder>> sent_orders(kRanks);
    std::vector<std::pair<MapEntry, int>> late_appends;
    for (int rank = 0; rank < kRanks; ++rank) {
      agents.push_back(MakeReplayedParticipant(rank));
      engines[rank].rejects_stale_tokens = rejects_stale_tokens;
    }
    std::vector<StepNumber> unchecked;
    TimePoint now;
    const auto append = [&](auto record) {
      // An append may be lost, delayed past other appends, or repeated.
      const std::size_t fault = draw(8);
      if (fault == 0) {
        return;
      }
      if (fault <= 2) {
        MapEntry entry;
        entry.record = record;
        late_appends.emplace_back(entry, static_cast<int>(1 + draw(40)));
        if (fault == 1) {
          return;
        }
      }
      log.Append(record);
    };
    for (int tick = 0; tick < 1500; ++tick) {
      now += Milliseconds(100);
      for (auto& [entry, wait] : late_appends) {
        if (--wait == 0) {
          std::visit([&](auto record) { log.Append(std::move(record)); },
                     entry.record);
        }
      }
      const bool without_faults = tick > 1200;
      if (!without_faults && draw(60) == 0) {
        const GroupMaps maps = log.Maps();
        append(MakeProposal(
            std::max(engines[0].status.step, maps.highest_activation_step) +
                20 + static_cast<StepNumber>(draw(60)),
            CurrentMap(maps).version));
      }
      for (int rank = 0; rank < kRanks; ++rank) {
        if (!without_faults && draw(200) == 0) {
          agents[rank] = MakeParticipant(TestGroup(), rank, Incarnation{2});
          folds[rank] = {};
          read[rank] = 0;
        }
        if (!without_faults && draw(400) == 0) {
          engines[rank].Restart();
        }
        if (!without_faults && !sent_orders[rank].empty() && draw(20) == 0) {
          engines[rank].Execute(
              sent_orders[rank][draw(sent_orders[rank].size())]);
        }
        if (!without_faults && draw(3) == 0) {
          continue;
        }
        while (read[rank] < log.entries.size() &&
               (without_faults || draw(4) != 0)) {
          folds[rank] =
              FoldMapEntry(std::move(folds[rank]), log.entries[read[rank]++]);
        }
        agents[rank] =
            ObserveMapLogEnd(std::move(agents[rank]), folds[rank],
                             static_cast<LogOffset>(log.entries.size()));
        ParticipantStep step = AdvanceParticipant(
            std::move(agents[rank]), MapsOfGroup(folds[rank], TestGroup()),
            engines[rank].status, now);
        agents[rank] = std::move(step.participant);
        for (const ParticipantAction& action : step.actions) {
          if (const auto* order = std::get_if<MapOrder>(&action)) {
            sent_orders[rank].push_back(*order);
            engines[rank].Execute(*order);
          } else if (const auto* c = std::get_if<AppendConfirm>(&action)) {
            append(c->record);
          } else if (const auto* a = std::get_if<AppendAbort>(&action)) {
            append(a->record);
          }
        }
      }
      if (std::ranges::all_of(engines, &TestEngine::CanStep)) {
        for (TestEngine& engine : engines) {
          engine.Step();
        }
        const StepNumber step = engines[0].status.step;
        for (const TestEngine& engine : engines) {
          INFO("seed " << seed << " step " << step);
          REQUIRE(engine.version_by_step.at(step) ==
                  engines[0].version_by_step.at(step));
        }
        unchecked.push_back(step);
      }
      // A step that ran while a change was open is checked once the change is
      // decided.
      const GroupMaps truth = log.Maps();
      std::erase_if(unchecked, [&](StepNumber step) {
        const auto decided = MapForStep(truth, step);
        if (decided) {
          INFO("seed " << seed << " step " << step);
          REQUIRE(decided->version == engines[0].version_by_step.at(step));
        }
        return decided.has_value();
      });
    }
    INFO("seed " << seed);
    CHECK(engines[0].status.step > 300);
    CHECK(std::ranges::all_of(engines, &TestEngine::CanStep));
    for (const DecidedChange& change : log.Maps().decided) {
      ++(change.committed ? committed : aborted);
    }
  }
  CHECK(committed > 100);
  CHECK(aborted > 100);
}

}  // namespace
}  // namespace toucanhollow
