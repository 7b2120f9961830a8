#include "permit/answer_permit_request.h"

#include <algorithm>
#include <optional>

#include "permit/permit_codec.h"

namespace toucanhollow {
namespace {

// Gives the permits of all bounds that apply, or none of them.
PermitDecision GivePermits(PermitIssuer& issuer,
                           const PermitRequest& request,
                           TimePoint now) {
  const bool cold = HasColdBound(request);
  const std::optional<ServerLimit> limit =
      FindLimit(issuer.limits, request.server, request.start_time_ms, now);
  PermitDecision decision{true, Duration(0)};
  if (cold) {
    decision = CheckPermit(issuer.permits, request.server, request.rate, now);
  }
  if (limit) {
    const PermitDecision by_limit = CheckPermit(
        issuer.limit_permits, request.server, FindLimitRate(limit->per_s), now);
    issuer.denied_by_limit += by_limit.granted ? 0 : 1;
    decision = {decision.granted && by_limit.granted,
                std::max(decision.wait, by_limit.wait)};
  }
  if (decision.granted && cold) {
    TakePermit(issuer.permits, request.server);
  }
  if (decision.granted && limit) {
    TakePermit(issuer.limit_permits, request.server);
  }
  return decision;
}

PermitDecision Decide(PermitIssuer& issuer,
                      const PermitRequest& request,
                      const IsolationHolder& holder,
                      TimePoint now) {
  const bool isolated = request.purpose == PermitPurpose::kIsolatedRequest;
  if (isolated && !IsIsolationFree(issuer.isolations, request.server, now)) {
    return {false, kIsolationWait};
  }
  const PermitDecision decision = GivePermits(issuer, request, now);
  if (isolated && decision.granted) {
    BeginIsolation(issuer.isolations, request.server, holder, now);
  }
  return decision;
}

}  // namespace

bool HasColdBound(const PermitRequest& request) {
  return request.rate.per_s > 0 ||
         (request.rate.burst > 0 &&
          request.purpose != PermitPurpose::kIsolatedRequest);
}

void MergeHostLimit(PermitIssuer& issuer,
                    const PermitRequest& request,
                    TimePoint now) {
  std::optional<ServerLimit> statement;
  if (request.limit) {
    statement = DateLimit(*request.limit, now);
  }
  MergeLimit(issuer.limits, request.server, request.start_time_ms, statement,
             now);
}

void BeginLedgers(PermitIssuer& issuer,
                  std::size_t max_servers,
                  TimePoint now) {
  issuer.permits = PermitLedger{now, max_servers, {}};
  issuer.limit_permits = issuer.permits;
  issuer.limits.max_servers = max_servers;
}

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
  MergeHostLimit(issuer, decoded, now);
  const PermitDecision decision = Decide(issuer, decoded, holder, now);
  return EncodePermitReply({decoded.serial, decision.granted, decision.wait});
}

Result<std::string> DenyPermitRequest(PermitIssuer& issuer,
                                      const Address& from,
                                      std::string_view request,
                                      Duration wait,
                                      TimePoint now) {
  BOOST_OUTCOME_TRY(decoded, DecodePermitRequest(request));
  if (decoded.purpose == PermitPurpose::kEndIsolation) {
    EndIsolation(issuer.isolations, {from, decoded.serial});
    return std::string();
  }
  MergeHostLimit(issuer, decoded, now);
  return EncodePermitReply({decoded.serial, false, wait});
}

}  // namespace toucanhollow
