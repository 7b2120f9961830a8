#include "map_change/advance_change.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

constexpr int kRanks = 4;

// Accepts and refuses orders as the engines of the platform do.
struct SimulatedRank {
  std::int64_t sequence = 0;
  GroupMapVersion map = 0;
  GroupMapVersion highest = 0;
  std::optional<GroupMapVersion> prepared;
  std::optional<std::pair<GroupMapVersion, StepNumber>> armed;
  std::optional<StepNumber> held;
};

struct DelayedOrder {
  int due = 0;
  RankOrder order;
};

// A group whose ranks begin each pass together. Orders to it may be lost,
// delayed or duplicated.
struct SimulatedGroup {
  std::vector<SimulatedRank> ranks = std::vector<SimulatedRank>(kRanks);
  std::int64_t epoch = 1;
  StepNumber step = 0;
  std::vector<DelayedOrder> delayed;
  int now = 0;
  bool has_mixed_maps = false;
  int switches = 0;
  int stalled_passes = 0;

  static int IndexOf(const std::string& server) { return std::stoi(server); }

  void ApplyOrder(const RankOrder& order) {
    SimulatedRank& rank = this->ranks[IndexOf(order.server)];
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

  void StartPass() {
    const StepNumber next = this->step + 1;
    for (const SimulatedRank& rank : this->ranks) {
      if (rank.held == next) {
        ++this->stalled_passes;
        return;
      }
    }
    this->step = next;
    bool switched = false;
    for (SimulatedRank& rank : this->ranks) {
      if (rank.armed && rank.armed->second == next) {
        rank.map = rank.armed->first;
        rank.armed.reset();
        switched = true;
      }
    }
    this->switches += switched ? 1 : 0;
    for (const SimulatedRank& rank : this->ranks) {
      this->has_mixed_maps =
          this->has_mixed_maps || rank.map != this->ranks.front().map;
    }
  }

  void ReformGroup() {
    ++this->epoch;
    this->ranks = std::vector<SimulatedRank>(kRanks);
  }

  RankReport MakeReport(int index) const {
    const SimulatedRank& rank = this->ranks[index];
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

struct SimulatedCoordinator {
  ChangeState state;
  GroupReading reading;
  std::size_t next_rank = 0;
  std::deque<RankOrder> to_send;
  // The report that each rank returned with its order, by rank.
  std::map<int, RankReport> after_orders;
  int paused_until = 0;
  GroupMapVersion next_version = 0;
};

struct Faults {
  double lost = 0;
  double delayed = 0;
  double duplicated = 0;
  double restart = 0;
  double pause = 0;
  bool correct_release = true;
};

struct SimulationResult {
  SimulatedGroup group;
  std::vector<SimulatedCoordinator> coordinators;
};

// Runs one small action of one coordinator, so that the actions of several
// coordinators and the passes interleave in every order.
void StepCoordinator(SimulatedGroup& group,
                     SimulatedCoordinator& coordinator,
                     const Faults& faults,
                     bool wants_change,
                     std::mt19937& random) {
  std::uniform_real_distribution<double> chance(0, 1);
  if (!coordinator.to_send.empty()) {
    const RankOrder order = coordinator.to_send.front();
    coordinator.to_send.pop_front();
    const int index = SimulatedGroup::IndexOf(order.server);
    const double draw = chance(random);
    if (draw < faults.lost) {
      // The order is lost; the report that follows it is not.
    } else if (draw < faults.lost + faults.delayed) {
      group.delayed.push_back(
          {group.now + 20 + static_cast<int>(random() % 300), order});
    } else {
      group.ApplyOrder(order);
      if (chance(random) < faults.duplicated) {
        group.delayed.push_back(
            {group.now + static_cast<int>(random() % 100), order});
      }
    }
    coordinator.after_orders.insert_or_assign(index, group.MakeReport(index));
    if (coordinator.to_send.empty() &&
        coordinator.after_orders.size() == kRanks) {
      // If every rank had an order, the reports returned with the orders form a
      // reading.
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
        group.MakeReport(static_cast<int>(coordinator.next_rank++)));
    return;
  }
  ChangeInput input;
  input.reading = std::exchange(coordinator.reading, {});
  coordinator.next_rank = 0;
  input.free_version = coordinator.next_version;
  if (wants_change) {
    input.target_map = GroupMap{};
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

SimulationResult RunSimulation(unsigned int seed,
                               const Faults& faults,
                               int coordinators) {
  std::mt19937 random(seed);
  std::uniform_real_distribution<double> chance(0, 1);
  SimulationResult result;
  SimulatedGroup& group = result.group;
  for (int i = 0; i < coordinators; ++i) {
    SimulatedCoordinator coordinator;
    // Coordinators never use the same version.
    coordinator.next_version = 1 + i;
    result.coordinators.push_back(coordinator);
  }
  constexpr int kTicks = 6000;
  for (group.now = 0; group.now < kTicks; ++group.now) {
    std::erase_if(group.delayed, [&group](const DelayedOrder& delayed) {
      if (delayed.due > group.now) {
        return false;
      }
      group.ApplyOrder(delayed.order);
      return true;
    });
    if (chance(random) < 0.05) {
      group.StartPass();
    }
    if (chance(random) < faults.restart) {
      group.ReformGroup();
    }
    for (SimulatedCoordinator& coordinator : result.coordinators) {
      if (chance(random) < faults.pause) {
        coordinator.paused_until = group.now + static_cast<int>(random() % 800);
      }
      if (coordinator.paused_until <= group.now) {
        StepCoordinator(group, coordinator, faults, true, random);
      }
    }
  }
  return result;
}

// Guards against a switch that leaves ranks with different maps.
TEST_CASE("a single coordinator changes the map repeatedly") {
  const SimulationResult result = RunSimulation(1, {}, 1);
  CHECK_FALSE(result.group.has_mixed_maps);
  CHECK(result.group.switches >= 20);
}

// Guards against a pass with two maps while orders are lost, delayed and
// duplicated, groups are re-formed, and coordinators pause in the middle of a
// round.
TEST_CASE("no pass begins with two maps despite faults") {
  Faults faults;
  faults.lost = 0.1;
  faults.delayed = 0.25;
  faults.duplicated = 0.1;
  faults.restart = 0.001;
  faults.pause = 0.002;
  int switches = 0;
  for (unsigned int seed = 1; seed <= 400; ++seed) {
    const int coordinators = 1 + static_cast<int>(seed % 3);
    const SimulationResult result = RunSimulation(seed, faults, coordinators);
    INFO("seed " << seed << ", coordinators " << coordinators);
    REQUIRE_FALSE(result.group.has_mixed_maps);
    switches += result.group.switches;
  }
  CHECK(switches > 400);
}

// Guards against a group that stalls forever because its coordinator crashed in
// the middle of a round.
TEST_CASE("a new coordinator releases the hold of a crashed one") {
  for (unsigned int seed = 1; seed <= 60; ++seed) {
    std::mt19937 random(seed);
    SimulatedGroup group;
    SimulatedCoordinator first;
    first.next_version = 1;
    const int crash_time = 20 + static_cast<int>(random() % 400);
    for (group.now = 0; group.now < crash_time; ++group.now) {
      StepCoordinator(group, first, {}, true, random);
      if (random() % 20 == 0) {
        group.StartPass();
      }
    }
    SimulatedCoordinator second;
    second.next_version = 1000;
    for (; group.now < crash_time + 1000; ++group.now) {
      StepCoordinator(group, second, {}, false, random);
      if (random() % 20 == 0) {
        group.StartPass();
      }
    }
    INFO("seed " << seed << ", crashed at " << crash_time);
    CHECK_FALSE(group.has_mixed_maps);
    for (const SimulatedRank& rank : group.ranks) {
      CHECK_FALSE(rank.held.has_value());
      CHECK_FALSE(rank.armed.has_value());
    }
  }
}

// Guards against decisions based on reports from two epochs.
TEST_CASE("an incomplete reading produces no orders") {
  SimulatedGroup group;
  ChangeInput input;
  for (int rank = 0; rank < kRanks; ++rank) {
    input.reading.push_back(group.MakeReport(rank));
  }
  input.reading[2].epoch = 2;
  input.free_version = 5;
  input.target_map = GroupMap{};
  CHECK(AdvanceChange({}, input, {}).orders.empty());
  input.reading[2].epoch = 1;
  CHECK(AdvanceChange({}, input, {}).orders.size() == kRanks);
}

}  // namespace
}  // namespace toucanhollow
