#include "membership/membership_state.h"

#include <algorithm>
#include <utility>

namespace toucanhollow {
namespace {

// More than this number of heartbeat intervals between two ticks shows that
// this process was paused.
constexpr int kMaxIntervalsBetweenTicks = 2;

}  // namespace

bool IsSuspected(const Member& member,
                 const MembershipParameters& parameters,
                 TimePoint now) {
  return member.last_heartbeat &&
         (member.link_lost ||
          now - *member.last_heartbeat > parameters.suspicion_timeout);
}

bool CanReceiveWork(const Member& member) {
  return member.last_heartbeat && !member.leaving && !member.listed_leaving;
}

HeartbeatDecision OnHeartbeat(MembershipState&& state,
                              const MemberHeartbeat& heartbeat,
                              TimePoint now) {
  HeartbeatDecision decision{std::move(state), false, false, false, false};
  Member& member = decision.state.members[heartbeat.sender];
  if (member.last_heartbeat && heartbeat.incarnation < member.incarnation) {
    decision.stale = true;
    return decision;
  }
  decision.new_incarnation =
      !member.last_heartbeat || heartbeat.incarnation != member.incarnation;
  decision.leaving_changed = heartbeat.leaving != member.leaving;
  decision.recovered = IsSuspected(member, decision.state.parameters, now);
  member.name = heartbeat.sender;
  member.role = heartbeat.role;
  member.data_centre = heartbeat.data_centre;
  member.incarnation = heartbeat.incarnation;
  member.last_heartbeat = now;
  member.link_lost = false;
  member.leaving = heartbeat.leaving;
  member.config_offset = heartbeat.config_offset;
  return decision;
}

MembershipState OnLinkLost(MembershipState&& state, const ProcessName& name) {
  if (const auto found = state.members.find(name);
      found != state.members.end()) {
    found->second.link_lost = true;
  }
  return std::move(state);
}

MembershipState OnTick(MembershipState&& state, TimePoint now) {
  const Duration interval = state.parameters.heartbeat_interval;
  if (state.last_tick &&
      now - *state.last_tick > kMaxIntervalsBetweenTicks * interval) {
    const Duration pause = now - *state.last_tick - interval;
    for (auto& [name, member] : state.members) {
      if (member.last_heartbeat) {
        member.last_heartbeat = std::min(now, *member.last_heartbeat + pause);
      }
    }
  }
  state.last_tick = now;
  std::erase_if(state.members, [&](const auto& entry) {
    const Member& member = entry.second;
    return !member.listed &&
           (!member.last_heartbeat ||
            now - *member.last_heartbeat > state.parameters.removal_timeout);
  });
  return std::move(state);
}

MembershipState ApplyHostList(MembershipState&& state,
                              const std::vector<HostListEntry>& hosts,
                              TimePoint now) {
  for (auto& [name, member] : state.members) {
    member.listed = false;
    member.listed_leaving = false;
  }
  for (const HostListEntry& host : hosts) {
    Member& member = state.members[host.name];
    member.name = host.name;
    member.listed = true;
    member.listed_leaving = host.leaving;
    // A heartbeat has newer values than the host list.
    if (!member.last_heartbeat) {
      member.role = host.role;
      member.data_centre = host.data_centre;
    }
  }
  std::erase_if(state.members, [&](const auto& entry) {
    const Member& member = entry.second;
    return !member.listed &&
           (!member.last_heartbeat ||
            now - *member.last_heartbeat > state.parameters.removal_timeout);
  });
  return std::move(state);
}

std::vector<ProcessName> ListSuspectedMembers(const MembershipState& state,
                                              TimePoint now) {
  std::vector<ProcessName> suspects;
  for (const auto& [name, member] : state.members) {
    if (IsSuspected(member, state.parameters, now)) {
      suspects.push_back(name);
    }
  }
  return suspects;
}

}  // namespace toucanhollow
