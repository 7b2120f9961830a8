#include "map_change/advance_change.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

constexpr int kRanks = 4;

// A rank as the platform's engines behave.
struct ModelRank {
  std::int64_t sequence = 0;
  GroupMapVersion map = 0;
  GroupMapVersion highest = 0;
  std::optional<GroupMapVersion> prepared;
  std::optional<std::pair<GroupMapVersion, StepNumber>> armed;
  std::optional<StepNumber> held;
};

struct LateOrder {
  int due = 0;
  RankOrder order;
};

// A group in lock-step whose orders may be lost, late or doubled.
struct ModelGroup {
  std::vector<ModelRank> ranks = std::vector<ModelRank>(kRanks);
  std::int64_t epoch = 1;
  StepNumber step = 0;
  std::vector<LateOrder> late;
  int now = 0;
  bool broken = false;
  int switches = 0;
  int stalled = 0;

  static int IndexOf(const std::string& server) { return std::stoi(server); }

  void Accept(const RankOrder& order) {
    ModelRank& rank = this->ranks[IndexOf(order.server)];
    if (order.epoch != this->epoch ||
        order.expected_sequence != rank.sequence) {
      return;
    }
    switch (order.kind) {
      case RankOrderKind::kPrepare:
        if (order.version <= rank.highest || rank.armed) {
          return;
        }
        rank.prepared = order.version;
        rank.highest = order.version;
        break;
      case RankOrderKind::kArm:
        if (rank.prepared != order.version || order.step <= this->step) {
          return;
        }
        rank.armed = {order.version, order.step};
        break;
      case RankOrderKind::kDisarm:
        if (!rank.armed || rank.armed->first != order.version) {
          return;
        }
        rank.armed.reset();
        break;
      case RankOrderKind::kHold:
        if (order.step <= this->step || rank.held) {
          return;
        }
        rank.held = order.step;
        break;
      case RankOrderKind::kRelease:
        if (rank.held != order.step) {
          return;
        }
        rank.held.reset();
        break;
    }
    ++rank.sequence;
  }

  void BeginPass() {
    const StepNumber next = this->step + 1;
    for (const ModelRank& rank : this->ranks) {
      if (rank.held == next) {
        ++this->stalled;
        return;
      }
    }
    this->step = next;
    bool switched = false;
    for (ModelRank& rank : this->ranks) {
      if (rank.armed && rank.armed->second == next) {
        rank.map = rank.armed->first;
        rank.armed.reset();
        switched = true;
      }
    }
    this->switches += switched ? 1 : 0;
    for (const ModelRank& rank : this->ranks) {
      this->broken = this->broken || rank.map != this->ranks.front().map;
    }
  }

  void FormAgain() {
    ++this->epoch;
    this->ranks = std::vector<ModelRank>(kRanks);
  }

  RankReport Report(int index) const {
    const ModelRank& rank = this->ranks[index];
    RankReport report;
    report.server = std::to_string(index);
    report.group = "g";
    report.epoch = this->epoch;
    report.rank = index;
    report.size = kRanks;
    report.open = true;
    report.sequence = rank.sequence;
    report.step = this->step;
    report.map = rank.map;
    report.prepared = rank.prepared;
    if (rank.armed) {
      report.armed = rank.armed->first;
    }
    report.held = rank.held;
    return report;
  }
};

struct Coordinator {
  ChangeState state;
  GroupReading reading;
  std::size_t next_rank = 0;
  std::deque<RankOrder> to_send;
  // The report of each rank right after its order, by rank.
  std::map<int, RankReport> after_orders;
  int paused_until = 0;
  GroupMapVersion next_version = 0;
};

struct Faults {
  double lost = 0;
  double late = 0;
  double doubled = 0;
  double restart = 0;
  double pause = 0;
  bool correct_release = true;
};

struct Outcome {
  ModelGroup group;
  std::vector<Coordinator> coordinators;
};

// One small action of one coordinator, so that the actions of several
// coordinators and the passes interleave in every order.
void Act(ModelGroup& group,
         Coordinator& coordinator,
         const Faults& faults,
         bool wants,
         std::mt19937& random) {
  std::uniform_real_distribution<double> chance(0, 1);
  if (!coordinator.to_send.empty()) {
    const RankOrder order = coordinator.to_send.front();
    coordinator.to_send.pop_front();
    const int index = ModelGroup::IndexOf(order.server);
    const double draw = chance(random);
    if (draw < faults.lost) {
      // The order is lost, the report that follows it is not.
    } else if (draw < faults.lost + faults.late) {
      group.late.push_back(
          {group.now + 20 + static_cast<int>(random() % 300), order});
    } else {
      group.Accept(order);
      if (chance(random) < faults.doubled) {
        group.late.push_back(
            {group.now + static_cast<int>(random() % 100), order});
      }
    }
    coordinator.after_orders.insert_or_assign(index, group.Report(index));
    if (coordinator.to_send.empty() &&
        coordinator.after_orders.size() == kRanks) {
      // Reports that came with the orders are a reading of their own.
      coordinator.reading.clear();
      for (const auto& [rank, report] : coordinator.after_orders) {
        coordinator.reading.push_back(report);
      }
      coordinator.next_rank = kRanks;
    }
    return;
  }
  if (coordinator.next_rank < kRanks) {
    coordinator.reading.push_back(
        group.Report(static_cast<int>(coordinator.next_rank++)));
    return;
  }
  ChangeInput input;
  input.reading = std::exchange(coordinator.reading, {});
  coordinator.next_rank = 0;
  input.free_version = coordinator.next_version;
  if (wants) {
    input.wanted = GroupMap{};
  }
  ChangeDecision decision = AdvanceChange(coordinator.state, input,
                                          TimePoint(Milliseconds(group.now)));
  if (decision.state.version == coordinator.next_version) {
    coordinator.next_version += 10;
  }
  coordinator.state = std::move(decision.state);
  coordinator.to_send.assign(decision.orders.begin(), decision.orders.end());
  coordinator.after_orders.clear();
}

Outcome Play(unsigned int seed, const Faults& faults, int coordinators) {
  std::mt19937 random(seed);
  std::uniform_real_distribution<double> chance(0, 1);
  Outcome outcome;
  ModelGroup& group = outcome.group;
  for (int i = 0; i < coordinators; ++i) {
    Coordinator coordinator;
    // Versions of different coordinators never meet.
    coordinator.next_version = 1 + i;
    outcome.coordinators.push_back(coordinator);
  }
  constexpr int kMoments = 6000;
  for (group.now = 0; group.now < kMoments; ++group.now) {
    std::erase_if(group.late, [&group](const LateOrder& late) {
      if (late.due > group.now) {
        return false;
      }
      group.Accept(late.order);
      return true;
    });
    if (chance(random) < 0.05) {
      group.BeginPass();
    }
    if (chance(random) < faults.restart) {
      group.FormAgain();
    }
    for (Coordinator& coordinator : outcome.coordinators) {
      if (chance(random) < faults.pause) {
        coordinator.paused_until = group.now + static_cast<int>(random() % 800);
      }
      if (coordinator.paused_until <= group.now) {
        Act(group, coordinator, faults, true, random);
      }
    }
  }
  return outcome;
}

// Guards against a switch that leaves ranks on different maps.
TEST_CASE("a lone coordinator changes the map again and again") {
  const Outcome outcome = Play(1, {}, 1);
  CHECK_FALSE(outcome.group.broken);
  CHECK(outcome.group.switches >= 20);
}

// Guards against two maps in one pass under lost, late and doubled orders,
// groups that form again and coordinators that pause in the middle of a round.
TEST_CASE("no pass begins with two maps under faults") {
  Faults faults;
  faults.lost = 0.1;
  faults.late = 0.25;
  faults.doubled = 0.1;
  faults.restart = 0.001;
  faults.pause = 0.002;
  int switches = 0;
  for (unsigned int seed = 1; seed <= 400; ++seed) {
    const int coordinators = 1 + static_cast<int>(seed % 3);
    const Outcome outcome = Play(seed, faults, coordinators);
    INFO("seed " << seed << ", coordinators " << coordinators);
    REQUIRE_FALSE(outcome.group.broken);
    switches += outcome.group.switches;
  }
  CHECK(switches > 400);
}

// Guards against a group that stands for ever after its coordinator ended in
// the middle of a round.
TEST_CASE("a successor releases a group that a dead coordinator held") {
  for (unsigned int seed = 1; seed <= 60; ++seed) {
    std::mt19937 random(seed);
    ModelGroup group;
    Coordinator first;
    first.next_version = 1;
    const int dies_at = 20 + static_cast<int>(random() % 400);
    for (group.now = 0; group.now < dies_at; ++group.now) {
      Act(group, first, {}, true, random);
      if (random() % 20 == 0) {
        group.BeginPass();
      }
    }
    Coordinator second;
    second.next_version = 1000;
    for (; group.now < dies_at + 1000; ++group.now) {
      Act(group, second, {}, false, random);
      if (random() % 20 == 0) {
        group.BeginPass();
      }
    }
    INFO("seed " << seed << ", died at " << dies_at);
    CHECK_FALSE(group.broken);
    for (const ModelRank& rank : group.ranks) {
      CHECK_FALSE(rank.held.has_value());
      CHECK_FALSE(rank.armed.has_value());
    }
  }
}

// Guards against conclusions from reports of two epochs.
TEST_CASE("an incomplete reading gives no order") {
  ModelGroup group;
  ChangeInput input;
  for (int rank = 0; rank < kRanks; ++rank) {
    input.reading.push_back(group.Report(rank));
  }
  input.reading[2].epoch = 2;
  input.free_version = 5;
  input.wanted = GroupMap{};
  CHECK(AdvanceChange({}, input, {}).orders.empty());
  input.reading[2].epoch = 1;
  CHECK(AdvanceChange({}, input, {}).orders.size() == kRanks);
}

}  // namespace
}  // namespace toucanhollow
