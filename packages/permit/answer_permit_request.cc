#include "permit/answer_permit_request.h"

#include "permit/permit_codec.h"

namespace toucanhollow {

Result<std::string> AnswerPermitRequest(PermitLedger& ledger,
                                        std::string_view request,
                                        TimePoint now) {
  BOOST_OUTCOME_TRY(decoded, DecodePermitRequest(request));
  const PermitDecision decision =
      GivePermit(ledger, decoded.server, decoded.rate, now);
  return EncodePermitReply({decoded.serial, decision.granted, decision.wait});
}

}  // namespace toucanhollow
