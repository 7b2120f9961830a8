// SharedIssuer: the permits that an entry host gives to itself for servers
// without an agent that name a limit, while no host can hold the lease of the
// issuer.
//
// Each host uses an equal part of the limit. Hosts that hear each other and are
// all out of contact with the store know that none of them has the lease.
#ifndef PERMIT_SHARED_ISSUER_H_
#define PERMIT_SHARED_ISSUER_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"
#include "base/time.h"
#include "permit/answer_permit_request.h"

namespace toucanhollow {

// What a host knows of the issuer and of the other hosts.
struct IssuerContact {
  // When the last join that the store answered was sent; empty if there was
  // none.
  std::optional<BootTime> joined_at;
  // The store answers the host's reads. A host that stops sends no joins.
  bool reads_store = false;
  // A current report announces the lease.
  bool issuer_heard = false;
  // A host that was heard of when the last join was answered is silent now. It
  // may hold the lease.
  bool host_silent = false;
  // The number of entry hosts, this one included; empty while it is not known.
  std::optional<int> hosts;

  bool operator==(const IssuerContact&) const = default;
};

// The number of hosts that share the limits; empty while another host may hold
// the lease or the number is not known.
std::optional<int> FindSharingHosts(const IssuerContact& contact, BootTime now);

struct SharedIssuer {
  // Empty while this host has no share.
  std::optional<int> hosts;
  PermitIssuer issuer;

  bool operator==(const SharedIssuer&) const = default;
};

// Its ledger is empty when the host begins to have a share, or has a larger
// one.
void SetSharingHosts(SharedIssuer& shared,
                     std::optional<int> hosts,
                     TimePoint now);

// This host's part of the permits for a server with this limit. All permits
// that the hosts use in 4 s are at most a bucket of each host and 5 times the
// limit: 4 s, kPermitLifetime, and up to 0.75 s in which a host does not know
// yet that another one has got the lease. Empty if the buckets, which must hold
// one permit, would exceed the bound of 6 times the limit and 5.
std::optional<PermitRate> FindShareRate(double per_s, int hosts);

// As AnswerPermitRequest, for a request of this host. Denies it without a
// share, and if it needs permits for a cold server or an isolated request.
Result<std::string> AnswerSharedRequest(SharedIssuer& shared,
                                        std::string_view request,
                                        Duration wait,
                                        TimePoint now);

}  // namespace toucanhollow

#endif  // PERMIT_SHARED_ISSUER_H_
