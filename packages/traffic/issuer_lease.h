// IssuerLease: which entry host gives permits for servers without an agent.
//
// The entry hosts form a consumer group of the platform's store, which assigns
// a partition to one member at most in each generation of the group. The store
// may assign it to another member at once, so the former one may take itself
// for the holder until its next join. A holder therefore gives permits only for
// kIssuerLeaseTime after a join, and a new one waits until such a lease of any
// other member has ended.
#ifndef TRAFFIC_ISSUER_LEASE_H_
#define TRAFFIC_ISSUER_LEASE_H_

#include "base/store_position.h"
#include "base/time.h"

namespace toucanhollow {

// From when a join was sent. It outlasts a connection that falls silent just
// after a join.
inline constexpr Duration kIssuerLeaseTime = Milliseconds(1500);

// From the answer that made a member the holder. The excess over
// kIssuerLeaseTime covers clocks that run at different speeds.
inline constexpr Duration kIssuerWaitTime = Milliseconds(1600);

// What the store answered to a join.
struct JoinAnswer {
  // Increases with each change of the group, and with each era of the store.
  StorePosition generation;
  bool is_holder = false;
  // When the first attempt of the call was sent.
  BootTime asked_at;
  BootTime answered_at;

  bool operator==(const JoinAnswer&) const = default;
};

struct IssuerLease {
  bool is_holder = false;
  // Of the last answer.
  StorePosition generation;
  BootTime issues_from;
  BootTime issues_until;

  bool operator==(const IssuerLease&) const = default;
};

// The lease after the answer. A member that held the partition in the
// generation before holds it without interruption; one that missed a generation
// waits again, because another member may have held it then. So does each
// holder in a new era of the store, which forgets generations.
IssuerLease RenewLease(const IssuerLease& lease, const JoinAnswer& answer);

// True while no other host may give permits.
bool MayIssue(const IssuerLease& lease, BootTime now);

// The generation that an issuer announces to the other hosts; the default value
// if this host is none.
StorePosition IssuingGeneration(const IssuerLease& lease, BootTime now);

}  // namespace toucanhollow

#endif  // TRAFFIC_ISSUER_LEASE_H_
