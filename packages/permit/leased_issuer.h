// LeasedIssuer: gives the permits for servers without an agent, while the lease
// of this entry host holds.
#ifndef PERMIT_LEASED_ISSUER_H_
#define PERMIT_LEASED_ISSUER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "base/address.h"
#include "base/result.h"
#include "base/time.h"
#include "permit/answer_permit_request.h"
#include "traffic/issuer_lease.h"

namespace toucanhollow {

// How long a host waits that asked another one than the issuer.
inline constexpr Duration kNoIssuerWait = Milliseconds(100);

// The servers of all services without an agent.
inline constexpr std::size_t kMaxLeasedServers = 1024;

struct LeasedIssuer {
  IssuerLease lease;
  PermitIssuer issuer;
  // IssuerLease::issues_from of the lease for which the ledger was begun.
  std::optional<BootTime> ledger_begun_for;

  bool operator==(const LeasedIssuer&) const = default;
};

// As AnswerPermitRequest. Outside of the lease every permit is denied, and the
// ledgers are empty when an uninterrupted lease begins.
Result<std::string> AnswerLeasedRequest(LeasedIssuer& issuer,
                                        const Address& from,
                                        std::string_view request,
                                        BootTime boot_now,
                                        TimePoint now);

}  // namespace toucanhollow

#endif  // PERMIT_LEASED_ISSUER_H_
