// MembershipState: which processes one process knows, and which of them it
// suspects. Heartbeats and links decide; the platform's host list is advice.
#ifndef MEMBERSHIP_MEMBERSHIP_STATE_H_
#define MEMBERSHIP_MEMBERSHIP_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/incarnation.h"
#include "base/name.h"
#include "base/time.h"

namespace toucanhollow {

enum class MemberRole { kEntryHost, kEndpoint };

struct MembershipParameters {
  Duration heartbeat_interval = Seconds(1);
  // Two missed heartbeats and half an interval for delay. Below the 3 s within
  // which a leaving endpoint must receive no new work.
  Duration suspicion_timeout = Milliseconds(2500);
  // A member that is silent for longer and not listed is forgotten.
  Duration removal_timeout = Seconds(60);

  bool operator==(const MembershipParameters&) const = default;
};

struct Member {
  ProcessName name;
  MemberRole role = MemberRole::kEndpoint;
  DataCentreName data_centre;
  Incarnation incarnation;
  // Nothing until the first heartbeat.
  std::optional<TimePoint> last_heartbeat;
  bool link_lost = false;
  // By the member's own heartbeat.
  bool leaving = false;
  bool listed = false;
  // By the host list.
  bool listed_leaving = false;
  std::int64_t config_offset = 0;

  bool operator==(const Member&) const = default;
};

struct MembershipState {
  MembershipParameters parameters;
  std::map<ProcessName, Member> members;
  std::optional<TimePoint> last_tick;

  bool operator==(const MembershipState&) const = default;
};

struct MemberHeartbeat {
  ProcessName sender;
  MemberRole role = MemberRole::kEndpoint;
  DataCentreName data_centre;
  Incarnation incarnation;
  bool leaving = false;
  std::int64_t config_offset = 0;

  bool operator==(const MemberHeartbeat&) const = default;
};

// What a heartbeat changed. The state is taken by move because it holds all
// members.
struct HeartbeatDecision {
  MembershipState state;
  // The heartbeat is of an earlier incarnation and was ignored.
  bool stale = false;
  // First heartbeat of this incarnation: dispatches to the old one ended.
  bool new_incarnation = false;
  bool leaving_changed = false;
  // The member was suspected until now.
  bool recovered = false;

  bool operator==(const HeartbeatDecision&) const = default;
};

HeartbeatDecision OnHeartbeat(MembershipState&& state,
                              const MemberHeartbeat& heartbeat,
                              TimePoint now);

// A closed link makes its member suspected at once.
MembershipState OnLinkLost(MembershipState&& state, const ProcessName& name);

// To be called every heartbeat interval. A gap between two ticks is a pause of
// this process and not of its peers, so their last heartbeats move with it.
MembershipState OnTick(MembershipState&& state, TimePoint now);

struct HostListEntry {
  ProcessName name;
  MemberRole role = MemberRole::kEndpoint;
  DataCentreName data_centre;
  bool leaving = false;

  bool operator==(const HostListEntry&) const = default;
};

// Applies the platform's list. It adds members to connect to and says which
// are leaving. A member that is missing from it stays while it is heard.
MembershipState ApplyHostList(MembershipState&& state,
                              const std::vector<HostListEntry>& hosts,
                              TimePoint now);

// Members that were heard and are silent or unlinked now. Routing weighs them
// less; a suspicion ends with the next heartbeat and cuts nothing off.
std::vector<ProcessName> ListSuspectedMembers(const MembershipState& state,
                                              TimePoint now);

bool IsSuspected(const Member& member,
                 const MembershipParameters& parameters,
                 TimePoint now);

// True if new work may be sent: heard, and leaving neither by its own word nor
// by the host list.
bool CanReceiveWork(const Member& member);

}  // namespace toucanhollow

#endif  // MEMBERSHIP_MEMBERSHIP_STATE_H_
