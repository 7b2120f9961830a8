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

MemberHeartbeat MakeHeartbeat(std::uint64_t incarnation = 1,
                              bool leaving = false) {
  MemberHeartbeat heartbeat;
  heartbeat.sender = ProcessName{"agent"};
  heartbeat.incarnation = Incarnation{incarnation};
  heartbeat.leaving = leaving;
  return heartbeat;
}

HeartbeatDecision ApplyHeartbeat(MembershipState& state,
                                 const MemberHeartbeat& heartbeat,
                                 TimePoint now) {
  HeartbeatDecision decision = OnHeartbeat(std::move(state), heartbeat, now);
  state = decision.state;
  return decision;
}

const Member& GetAgent(const MembershipState& state) {
  return state.members.at(ProcessName{"agent"});
}

// Guards against a suspicion that comes too late for invariant I7 or that stays
// after the next heartbeat.
TEST_CASE("a silent member is suspected within 3 s until its next heartbeat") {
  MembershipState state;
  CHECK(ApplyHeartbeat(state, MakeHeartbeat(), At(0)).new_incarnation);
  CHECK(ListSuspectedMembers(state, At(2500)).empty());
  CHECK(ListSuspectedMembers(state, At(2501)).size() == 1);
  CHECK(CanReceiveWork(GetAgent(state)));
  CHECK(ApplyHeartbeat(state, MakeHeartbeat(), At(2600)).recovered);
  CHECK(ListSuspectedMembers(state, At(2600)).empty());
  state = OnLinkLost(std::move(state), ProcessName{"agent"});
  CHECK(ListSuspectedMembers(state, At(2600)).size() == 1);
}

// Guards against a late heartbeat of an earlier incarnation that overrides the
// state of the current one.
TEST_CASE("heartbeats of an earlier incarnation are ignored") {
  MembershipState state;
  ApplyHeartbeat(state, MakeHeartbeat(2), At(0));
  CHECK(ApplyHeartbeat(state, MakeHeartbeat(1, true), At(10)).stale);
  CHECK(CanReceiveWork(GetAgent(state)));
  const HeartbeatDecision restarted =
      ApplyHeartbeat(state, MakeHeartbeat(3, true), At(20));
  CHECK(restarted.new_incarnation);
  CHECK(restarted.leaving_changed);
  CHECK_FALSE(CanReceiveWork(GetAgent(state)));
}

// Guards against a process that suspects all its peers after it was paused.
TEST_CASE("a process that was paused suspects no peer for the pause") {
  MembershipState state;
  state = OnTick(std::move(state), At(0));
  ApplyHeartbeat(state, MakeHeartbeat(), At(500));
  state = OnTick(std::move(state), At(20000));
  CHECK(ListSuspectedMembers(state, At(20000)).empty());
  for (int ms = 21000; ms <= 23000; ms += 1000) {
    state = OnTick(std::move(state), At(ms));
  }
  CHECK(ListSuspectedMembers(state, At(23000)).size() == 1);
}

// Guards against an outdated host list that removes a live member, and against
// ignoring the list when it is the only source that says a member is leaving.
TEST_CASE("the host list marks members as leaving but removes no live member") {
  MembershipState state;
  ApplyHeartbeat(state, MakeHeartbeat(), At(0));
  state = ApplyHostList(std::move(state), {}, At(30000));
  CHECK(state.members.size() == 1);
  HostListEntry entry;
  entry.name = ProcessName{"agent"};
  entry.leaving = true;
  state = ApplyHostList(std::move(state), {entry}, At(30000));
  CHECK_FALSE(CanReceiveWork(GetAgent(state)));
  entry.leaving = false;
  entry.name = ProcessName{"listed-only"};
  state = ApplyHostList(std::move(state), {entry}, At(61000));
  REQUIRE(state.members.size() == 1);
  CHECK_FALSE(CanReceiveWork(state.members.begin()->second));
  CHECK(ListSuspectedMembers(state, At(99000)).empty());
}

// The target size: 410 entry hosts and 1,100 endpoints of 15 models in 11 data
// centres of 5 regions.
LinkView MakeTargetView() {
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

// Guards against more links than the control traffic of a node allows, and
// against an endpoint without a link from any entry host.
TEST_CASE("links at the target size are few and reach every endpoint") {
  const LinkView view = MakeTargetView();
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

// Guards against reconnecting the whole fleet when one endpoint changes.
TEST_CASE("removing an endpoint moves few links") {
  const LinkView before = MakeTargetView();
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
  // About nine entry hosts had a link to the endpoint.
  CHECK(moved <= 30);
}

// Guards against entry hosts that cannot reach any endpoint because their data
// centre is out of service.
TEST_CASE(
    "a small fleet is fully linked except to data centres out of service") {
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

// Guards against a shutdown that cuts off requests, or that refuses requests
// that the load balancer still sends.
TEST_CASE(
    "an entry host serves during the balancer's lag and until all requests "
    "end") {
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

// Guards against cutting off requests after a pause of the process: they
// arrived before the close and are read only after it.
TEST_CASE("an entry host that was paused closes its socket before it exits") {
  EntryDrain drain = BeginEntryDrain({}, Seconds(2), At(0));
  drain = AdvanceEntryDrain(drain, 0, At(7000));
  CHECK(drain.phase == EntryDrainPhase::kClosed);
  drain = AdvanceEntryDrain(drain, 1, At(7000));
  CHECK(drain.phase == EntryDrainPhase::kClosed);
  CHECK(AdvanceEntryDrain(drain, 0, At(7001)).phase == EntryDrainPhase::kExit);
}

// Guards against an agent that exits because of the host list alone.
TEST_CASE("an agent exits only after SIGTERM and when nothing is pending") {
  CHECK(IsLeaving({false, true}));
  CHECK_FALSE(CanExit({false, true}, 0));
  CHECK_FALSE(CanExit({true, false}, 1));
  CHECK(CanExit({true, true}, 0));
}

}  // namespace
}  // namespace toucanhollow
