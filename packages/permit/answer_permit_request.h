// Answers the permit requests of entry hosts.
#ifndef PERMIT_ANSWER_PERMIT_REQUEST_H_
#define PERMIT_ANSWER_PERMIT_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/address.h"
#include "base/result.h"
#include "base/time.h"
#include "permit/permit_message.h"
#include "quarantine/isolation_ledger.h"
#include "traffic/known_limits.h"
#include "traffic/permit_ledger.h"

namespace toucanhollow {

// What a permit issuer has given.
struct PermitIssuer {
  PermitLedger permits;
  // For servers that name a limit; a request to them needs a permit of each.
  PermitLedger limit_permits;
  KnownLimits limits;
  std::uint64_t denied_by_limit = 0;  // permits
  IsolationLedger isolations;

  bool operator==(const PermitIssuer&) const = default;
};

// True if the request needs a permit for a cold server. Hosts of earlier
// versions state no rate, but a burst, for an isolated request without a bound.
bool HasColdBound(const PermitRequest& request);

// Merges what the asking host knows of the server's limit.
void MergeHostLimit(PermitIssuer& issuer,
                    const PermitRequest& request,
                    TimePoint now);

// Begins with empty buckets, because another issuer may have given permits just
// before. Keeps what is known of limits.
void BeginLedgers(PermitIssuer& issuer, std::size_t max_servers, TimePoint now);

// Decides on the encoded request of the host `from` and returns the encoded
// reply; empty if the request gets none. Fails with kFrameMalformed.
Result<std::string> AnswerPermitRequest(PermitIssuer& issuer,
                                        const Address& from,
                                        std::string_view request,
                                        TimePoint now);

// Denies the permit, if the request asks for one. Otherwise as
// AnswerPermitRequest.
Result<std::string> DenyPermitRequest(PermitIssuer& issuer,
                                      const Address& from,
                                      std::string_view request,
                                      Duration wait,
                                      TimePoint now);

}  // namespace toucanhollow

#endif  // PERMIT_ANSWER_PERMIT_REQUEST_H_
