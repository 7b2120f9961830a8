#include "permit/answer_permit_request.h"

#include "permit/permit_codec.h"

namespace toucanhollow {
namespace {

PermitDecision Decide(PermitIssuer& issuer,
                      const PermitRequest& request,
                      const IsolationHolder& holder,
                      TimePoint now) {
  const bool isolated = request.purpose == PermitPurpose::kIsolatedRequest;
  if (isolated && !IsIsolationFree(issuer.isolations, request.server, now)) {
    return {false, kIsolationWait};
  }
  PermitDecision decision{true, Duration(0)};
  if (request.rate.per_s > 0 || !isolated) {
    decision = GivePermit(issuer.permits, request.server, request.rate, now);
  }
  if (isolated && decision.granted) {
    BeginIsolation(issuer.isolations, request.server, holder, now);
  }
  return decision;
}

}  // namespace

Result<std::string> AnswerPermitRequest(PermitIssuer& issuer,
                                        const Address& from,
                                        std::string_view request,
                                        TimePoint now) {
  BOOST_OUTCOME_TRY(decoded, DecodePermitRequest(request));
  const IsolationHolder holder{from, decoded.serial};
  if (decoded.purpose == PermitPurpose::kEndIsolation) {
    EndIsolation(issuer.isolations, holder);
    return std::string();
  }
  const PermitDecision decision = Decide(issuer, decoded, holder, now);
  return EncodePermitReply({decoded.serial, decision.granted, decision.wait});
}

Result<std::string> DenyPermitRequest(PermitIssuer& issuer,
                                      const Address& from,
                                      std::string_view request,
                                      Duration wait) {
  BOOST_OUTCOME_TRY(decoded, DecodePermitRequest(request));
  if (decoded.purpose == PermitPurpose::kEndIsolation) {
    EndIsolation(issuer.isolations, {from, decoded.serial});
    return std::string();
  }
  return EncodePermitReply({decoded.serial, false, wait});
}

}  // namespace toucanhollow
