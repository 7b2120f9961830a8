#include "permit/leased_issuer.h"

namespace toucanhollow {

Result<std::string> AnswerLeasedRequest(LeasedIssuer& issuer,
                                        const Address& from,
                                        std::string_view request,
                                        BootTime boot_now,
                                        TimePoint now) {
  if (!MayIssue(issuer.lease, boot_now)) {
    return DenyPermitRequest(issuer.issuer, from, request, kNoIssuerWait, now);
  }
  if (issuer.ledger_begun_for != issuer.lease.issues_from) {
    issuer.ledger_begun_for = issuer.lease.issues_from;
    BeginLedgers(issuer.issuer, kMaxLeasedServers, now);
  }
  return AnswerPermitRequest(issuer.issuer, from, request, now);
}

}  // namespace toucanhollow
