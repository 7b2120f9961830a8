// The coordinator of expert maps with its agents, the store and a model group,
// on one loop.
#include "map_task/group_map_task.h"

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "map_task/rank_agent.h"
#include "platform/engine_calls.h"
#include "standins/platform/engine_group_stand_in.h"
#include "standins/platform/platform_store_stand_in.h"

namespace toucanhollow {
namespace {

constexpr char kHost[] = "127.0.0.1";

struct GroupSite {
  EventLoop loop;
  PlatformStoreStandIn store{loop};
  EngineGroupShape shape;
  EngineGroupStandIn group{loop, shape};
  HttpClient client{loop};
  std::vector<Address> agent_addresses;
  std::vector<std::unique_ptr<RankAgent>> agents;
  std::set<std::string> slow_ranks;
  std::unique_ptr<GroupMapTask> task;

  GroupSite() {
    this->store.SetCoordinator(true);
    // Two experts of each set have most of the load.
    for (int set = 0; set < this->shape.sets; ++set) {
      std::vector<double> chosen(this->shape.experts, 10);
      chosen[set] = 200;
      chosen[set + 3] = 150;
      this->group.demand.push_back(chosen);
    }
    for (int rank = 0; rank < this->shape.ranks; ++rank) {
      auto probe = DatagramSocket::Bind(
          this->loop, {kHost, 0}, [](const Address&, std::string_view) {});
      REQUIRE(probe);
      this->agent_addresses.push_back(probe.value()->bound());
    }
  }

  void StartAgents(int count) {
    for (int rank = 0; rank < count; ++rank) {
      RankAgentSettings settings;
      settings.process = "agent";
      settings.listen = this->agent_addresses[rank];
      settings.metrics = {kHost, 0};
      settings.engine = {kHost, this->group.Port(rank)};
      this->agents.push_back(std::make_unique<RankAgent>(
          this->loop, settings, platform::EngineCodec()));
      REQUIRE(this->agents.back()->Start());
    }
  }

  void StartCoordinator() {
    this->task = std::make_unique<GroupMapTask>(
        this->loop, this->client, platform::EngineCodec(),
        Address{kHost, this->store.Port()}, "member",
        GroupMapCallbacks{[this] { return this->View(); },
                          [](const RankReport&) {},
                          [this](const std::set<std::string>& slow) {
                            this->slow_ranks = slow;
                          }});
    REQUIRE(this->task->Start({kHost, 0}));
  }

  GroupView View() const {
    GroupView view;
    view.limits = {this->shape.places, 2};
    view.sets = this->shape.sets;
    view.expert_load_time = Milliseconds(50);
    for (int rank = 0; rank < this->shape.ranks; ++rank) {
      view.ranks.push_back({"i-" + std::to_string(rank),
                            this->agent_addresses[rank],
                            {kHost, this->group.Port(rank)}});
    }
    return view;
  }

  void ReverseDemand() {
    for (auto& set : this->group.demand) {
      std::ranges::reverse(set);
    }
  }

  double Ratio() const {
    double sum = 0;
    for (int set = 0; set < this->shape.sets; ++set) {
      sum += LoadRatio(this->group.map()[set], this->group.demand[set]);
    }
    return sum / this->shape.sets;
  }

  template <typename Condition>
  bool RunUntil(Condition condition, Duration limit) {
    const TimePoint end = EventLoop::Now() + limit;
    while (!condition() && EventLoop::Now() < end) {
      const Timer timer(this->loop, Milliseconds(5), Duration(0),
                        [this] { this->loop.Stop(); });
      this->loop.Run();
    }
    return condition();
  }
};

TEST_CASE("a coordinator evens out a group") {
  GroupSite site;
  const double before = site.Ratio();
  site.StartAgents(site.shape.ranks);
  site.StartCoordinator();
  CHECK(site.RunUntil([&] { return site.Ratio() < 1.25; }, Seconds(8)));
  CHECK(before > 1.8);
  CHECK(site.group.switches() >= 1);
  CHECK(site.group.mixed_passes() == 0);
}

// Guards against a group that is left as it is because one agent has ended.
TEST_CASE("a coordinator reaches a rank without its agent") {
  GroupSite site;
  site.StartAgents(site.shape.ranks);
  site.StartCoordinator();
  REQUIRE(
      site.RunUntil([&] { return site.group.switches() >= 1; }, Seconds(8)));
  site.agents.pop_back();
  site.ReverseDemand();
  const int before = site.group.switches();
  CHECK(site.RunUntil([&] { return site.group.switches() > before; },
                      Seconds(8)));
  CHECK(site.group.mixed_passes() == 0);
}

// Guards against two maps in one pass, and against a group that stands at a
// held pass, while orders go unanswered and are carried out later.
TEST_CASE("late orders neither mix maps nor stop the group") {
  GroupSite site;
  site.group.late_every = 3;
  site.StartAgents(site.shape.ranks);
  site.StartCoordinator();
  for (int round = 1; round <= 3; ++round) {
    INFO("round " << round);
    CHECK(site.RunUntil([&] { return site.group.switches() >= round; },
                        Seconds(15)));
    // Other experts are in demand for the next round.
    site.ReverseDemand();
  }
  CHECK(site.group.mixed_passes() == 0);
  site.group.late_every = 0;
  const std::int64_t step = site.group.step();
  CHECK(
      site.RunUntil([&] { return site.group.step() > step + 20; }, Seconds(5)));
}

// Guards against a slow rank that keeps its share of experts and requests.
TEST_CASE("a slow rank is named and relieved") {
  GroupSite site;
  // The first rank has the most load at the start.
  site.group.slow_rank = 0;
  site.group.slow_pace = 4;
  site.StartAgents(site.shape.ranks);
  site.StartCoordinator();
  const auto load = [&site] {
    double sum = 0;
    for (int set = 0; set < site.shape.sets; ++set) {
      sum += RankLoads(site.group.map()[set], site.group.demand[set])[0];
    }
    return sum;
  };
  const double before = load();
  CHECK(site.RunUntil([&] { return load() < before / 2; }, Seconds(8)));
  CHECK(site.slow_ranks == std::set<std::string>{"i-0"});
  CHECK(site.group.mixed_passes() == 0);
}

}  // namespace
}  // namespace toucanhollow
