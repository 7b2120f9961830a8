// MembershipState holds the processes that one process knows and which of them
// it suspects to have failed. Heartbeats and links are authoritative; the
// platform's host list is only a hint.
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
  // A member is suspected after two missed heartbeats and half an interval for
  // network delay. This is below the 3 s after which an endpoint that is
  // leaving must receive no new work.
  Duration suspicion_timeout = Milliseconds(2500);
  // A member that sent no heartbeat for longer than this and is not in the host
  // list is removed.
  Duration removal_timeout = Seconds(60);

  bool operator==(const MembershipParameters&) const = default;
};

struct Member {
  ProcessName name;
  MemberRole role = MemberRole::kEndpoint;
  DataCentreName data_centre;
  Incarnation incarnation;
  // Time of the last heartbeat; empty until the first one.
  std::optional<TimePoint> last_heartbeat;
  bool link_lost = false;
  // The member's heartbeat reports that it is leaving.
  bool leaving = false;
  // The host list contains the member.
  bool listed = false;
  // The host list names the member as leaving.
  bool listed_leaving = false;
  // Last offset of the configuration log that the member has applied.
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

// The state after a heartbeat, and what the heartbeat changed.
struct HeartbeatDecision {
  MembershipState state;
  // The heartbeat was from an earlier incarnation and was ignored.
  bool stale = false;
  // First heartbeat of this incarnation. Dispatches to the earlier one have
  // ended.
  bool new_incarnation = false;
  bool leaving_changed = false;
  // The member was suspected until this heartbeat.
  bool recovered = false;

  bool operator==(const HeartbeatDecision&) const = default;
};

// Applies a heartbeat. The state is passed by move because it holds all
// members.
HeartbeatDecision OnHeartbeat(MembershipState&& state,
                              const MemberHeartbeat& heartbeat,
                              TimePoint now);

// Marks the link to a member as lost, which makes the member suspected at once.
MembershipState OnLinkLost(MembershipState&& state, const ProcessName& name);

// Removes expired members; called once per heartbeat interval. If the time
// since the last tick shows that this process was paused, the last heartbeat
// times are moved forward by the pause, because its peers were not silent.
MembershipState OnTick(MembershipState&& state, TimePoint now);

struct HostListEntry {
  ProcessName name;
  MemberRole role = MemberRole::kEndpoint;
  DataCentreName data_centre;
  bool leaving = false;

  bool operator==(const HostListEntry&) const = default;
};

// Applies the platform's host list, which adds members to connect to and marks
// members as leaving. A member that is missing from the list stays while its
// heartbeats arrive.
MembershipState ApplyHostList(MembershipState&& state,
                              const std::vector<HostListEntry>& hosts,
                              TimePoint now);

// Returns the suspected members: those that have sent a heartbeat and whose
// link is lost or whose last heartbeat is older than the suspicion timeout.
// Routing gives them less work. A suspicion ends with the next heartbeat and
// does not affect requests in flight.
std::vector<ProcessName> ListSuspectedMembers(const MembershipState& state,
                                              TimePoint now);

bool IsSuspected(const Member& member,
                 const MembershipParameters& parameters,
                 TimePoint now);

// True if new work may be sent to the member: it has sent a heartbeat, and
// neither its heartbeats nor the host list say that it is leaving.
bool CanReceiveWork(const Member& member);

}  // namespace toucanhollow

#endif  // MEMBERSHIP_MEMBERSHIP_STATE_H_
