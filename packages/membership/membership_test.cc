#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "membership/drain.h"
#include "membership/membership_state.h"
#include "membership/plan_links.h"

namespace toucanhollow {
namespace {

TimePoint At(std::int64_t ms) {
  return TimePoint(Milliseconds(ms));
}

MemberHeartbeat Beat(std::uint64_t incarnation = 1, bool leaving = false) {
  MemberHeartbeat heartbeat;
  heartbeat.sender = ProcessName{"agent"};
  heartbeat.incarnation = Incarnation{incarnation};
  heartbeat.leaving = leaving;
  return heartbeat;
}

HeartbeatDecision Hear(MembershipState& state,
                       const MemberHeartbeat& heartbeat,
                       TimePoint now) {
  HeartbeatDecision decision = OnHeartbeat(std::move(state), heartbeat, now);
  state = decision.state;
  return decision;
}

const Member& Agent(const MembershipState& state) {
  return state.members.at(ProcessName{"agent"});
}

// Guards against a suspicion that comes too late for I7 or that stays after
// the member is heard again.
TEST_CASE("silence is suspected within 3 s and ends with a heartbeat") {
  MembershipState state;
  CHECK(Hear(state, Beat(), At(0)).new_incarnation);
  CHECK(ListSuspectedMembers(state, At(2500)).empty());
  CHECK(ListSuspectedMembers(state, At(2501)).size() == 1);
  CHECK(CanReceiveWork(Agent(state)));
  CHECK(Hear(state, Beat(), At(2600)).recovered);
  CHECK(ListSuspectedMembers(state, At(2600)).empty());
  state = OnLinkLost(std::move(state), ProcessName{"agent"});
  CHECK(ListSuspectedMembers(state, At(2600)).size() == 1);
}

// Guards against a late heartbeat of an earlier run that overrides the new.
TEST_CASE("heartbeats of an earlier incarnation are ignored") {
  MembershipState state;
  Hear(state, Beat(2), At(0));
  CHECK(Hear(state, Beat(1, true), At(10)).stale);
  CHECK(CanReceiveWork(Agent(state)));
  const HeartbeatDecision restarted = Hear(state, Beat(3, true), At(20));
  CHECK(restarted.new_incarnation);
  CHECK(restarted.leaving_changed);
  CHECK_FALSE(CanReceiveWork(Agent(state)));
}

// Guards against a process that was paused and then suspects all its peers.
TEST_CASE("an own pause makes nobody suspected") {
  MembershipState state;
  state = OnTick(std::move(state), At(0));
  Hear(state, Beat(), At(500));
  state = OnTick(std::move(state), At(20000));
  CHECK(ListSuspectedMembers(state, At(20000)).empty());
  for (int ms = 21000; ms <= 23000; ms += 1000) {
    state = OnTick(std::move(state), At(ms));
  }
  CHECK(ListSuspectedMembers(state, At(23000)).size() == 1);
}

// Guards against a lagging host list that removes a live member, and against
// one that is ignored when it is the only source of a leaving.
TEST_CASE("the host list is advice") {
  MembershipState state;
  Hear(state, Beat(), At(0));
  state = ApplyHostList(std::move(state), {}, At(30000));
  CHECK(state.members.size() == 1);
  HostListEntry entry;
  entry.name = ProcessName{"agent"};
  entry.leaving = true;
  state = ApplyHostList(std::move(state), {entry}, At(30000));
  CHECK_FALSE(CanReceiveWork(Agent(state)));
  entry.leaving = false;
  entry.name = ProcessName{"listed-only"};
  state = ApplyHostList(std::move(state), {entry}, At(61000));
  REQUIRE(state.members.size() == 1);
  CHECK_FALSE(CanReceiveWork(state.members.begin()->second));
  CHECK(ListSuspectedMembers(state, At(99000)).empty());
}

// 410 entry hosts and 1,100 endpoints of 15 models in 11 data centres of 5
// regions.
LinkView TargetView() {
  LinkView view;
  const auto data_centre = [](int number) {
    return DataCentreName{"dc" + std::to_string(number % 11)};
  };
  for (int i = 0; i < 11; ++i) {
    view.regions[data_centre(i)] = "region" + std::to_string(i % 5);
  }
  for (int i = 0; i < 410; ++i) {
    view.entry_hosts.push_back(
        {ProcessName{"entry" + std::to_string(i)}, data_centre(i)});
  }
  for (int i = 0; i < 1100; ++i) {
    view.endpoints.push_back({ProcessName{"agent" + std::to_string(i)},
                              data_centre(i),
                              ServiceName{"model" + std::to_string(i % 15)}});
  }
  return view;
}

// Guards against link counts that do not fit the control budget, and against
// an endpoint that no entry host is linked to.
TEST_CASE("links at the target size are few and reach every endpoint") {
  const LinkView view = TargetView();
  std::map<ProcessName, ServiceName> service_of;
  for (const LinkEndpoint& endpoint : view.endpoints) {
    service_of[endpoint.agent] = endpoint.service;
  }
  std::set<ProcessName> reached;
  for (const LinkEntryHost& host : view.entry_hosts) {
    const LinkPlan plan = PlanLinks(view, host);
    REQUIRE(plan.endpoints.size() == 24);
    REQUIRE(plan.peers.size() <= 4 + 2);
    REQUIRE(plan.peers.size() >= 4 + 1);
    std::set<ServiceName> services;
    for (const ProcessName& agent : plan.endpoints) {
      services.insert(service_of.at(agent));
    }
    REQUIRE(services.size() == 15);
    reached.insert(plan.endpoints.begin(), plan.endpoints.end());
  }
  CHECK(reached.size() == 1100);
}

// Guards against a change of one endpoint that reconnects the whole fleet.
TEST_CASE("removing an endpoint moves few links") {
  const LinkView before = TargetView();
  LinkView after = before;
  after.endpoints.erase(after.endpoints.begin() + 500);
  int moved = 0;
  for (const LinkEntryHost& host : before.entry_hosts) {
    const LinkPlan old_plan = PlanLinks(before, host);
    const LinkPlan new_plan = PlanLinks(after, host);
    std::vector<ProcessName> dropped;
    std::ranges::set_difference(old_plan.endpoints, new_plan.endpoints,
                                std::back_inserter(dropped));
    moved += static_cast<int>(dropped.size());
  }
  // About nine hosts held the endpoint.
  CHECK(moved <= 30);
}

// Guards against entry hosts of a data centre that is out and that can reach
// no endpoint elsewhere.
TEST_CASE("a small fleet is fully linked, but not to a data centre out") {
  LinkView view;
  for (int i = 0; i < 19; ++i) {
    view.endpoints.push_back({ProcessName{"agent" + std::to_string(i)},
                              DataCentreName{"dc" + std::to_string(i % 3)},
                              ServiceName{"drafting"}});
  }
  const LinkEntryHost self{ProcessName{"entry"}, DataCentreName{"dc0"}};
  view.entry_hosts.push_back(self);
  CHECK(PlanLinks(view, self).endpoints.size() == 19);
  view.data_centres_out.insert(DataCentreName{"dc0"});
  CHECK(PlanLinks(view, self).endpoints.size() == 12);
}

// Guards against a shutdown that cuts off requests, or that refuses those that
// the balancer still sends.
TEST_CASE("an entry host serves for the balancer's lag and until all ended") {
  EntryDrain drain = BeginEntryDrain({}, Seconds(2), At(0));
  CHECK(BeginEntryDrain(drain, Seconds(2), At(1000)) == drain);
  drain = AdvanceEntryDrain(drain, 0, At(1999));
  CHECK(drain.phase == EntryDrainPhase::kNotReady);
  drain = AdvanceEntryDrain(drain, 1, At(2000));
  CHECK(drain.phase == EntryDrainPhase::kClosed);
  drain = AdvanceEntryDrain(drain, 1, At(999000));
  CHECK(drain.phase == EntryDrainPhase::kClosed);
  drain = AdvanceEntryDrain(drain, 0, At(999001));
  CHECK(drain.phase == EntryDrainPhase::kExit);
}

// Guards against cut requests after a pause: they arrived before the close and
// are first seen after the step that closes.
TEST_CASE("an entry host that wakes late closes before it exits") {
  EntryDrain drain = BeginEntryDrain({}, Seconds(2), At(0));
  drain = AdvanceEntryDrain(drain, 0, At(7000));
  CHECK(drain.phase == EntryDrainPhase::kClosed);
  drain = AdvanceEntryDrain(drain, 1, At(7000));
  CHECK(drain.phase == EntryDrainPhase::kClosed);
  CHECK(AdvanceEntryDrain(drain, 0, At(7001)).phase == EntryDrainPhase::kExit);
}

// Guards against an agent that ends because of the host list alone.
TEST_CASE("only SIGTERM ends an agent, and only when nothing is pending") {
  CHECK(IsLeaving({false, true}));
  CHECK_FALSE(CanExit({false, true}, 0));
  CHECK_FALSE(CanExit({true, false}, 1));
  CHECK(CanExit({true, true}, 0));
}

}  // namespace
}  // namespace toucanhollow
