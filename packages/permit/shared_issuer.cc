#include "permit/shared_issuer.h"

#include <algorithm>

#include "permit/leased_issuer.h"
#include "permit/permit_codec.h"
#include "traffic/issuer_lease.h"

namespace toucanhollow {
namespace {

// Of the slack of the bound, one request is left for hosts that are
// descheduled.
constexpr double kUsableSlack = 4;

}  // namespace

std::optional<int> FindSharingHosts(const IssuerContact& contact,
                                    BootTime now) {
  const bool has_contact =
      contact.reads_store ||
      (contact.joined_at && now - *contact.joined_at < kIssuerLeaseTime);
  if (has_contact || contact.issuer_heard || contact.host_silent) {
    return std::nullopt;
  }
  return contact.hosts;
}

void SetSharingHosts(SharedIssuer& shared,
                     std::optional<int> hosts,
                     TimePoint now) {
  if (hosts && (!shared.hosts || *hosts < *shared.hosts)) {
    BeginLedgers(shared.issuer, kMaxLeasedServers, now);
  }
  shared.hosts = hosts;
}

std::optional<PermitRate> FindShareRate(double per_s, int hosts) {
  const double limit = std::clamp(per_s, kMinLimitPerS, kMaxServerLimitPerS);
  if (hosts > limit + kUsableSlack) {
    return std::nullopt;
  }
  const double rate = limit / hosts;
  const double burst_s = std::chrono::duration<double>(kLimitBurstTime).count();
  return PermitRate{rate, std::max(rate * burst_s, 1.0)};
}

Result<std::string> AnswerSharedRequest(SharedIssuer& shared,
                                        std::string_view request,
                                        Duration wait,
                                        TimePoint now) {
  BOOST_OUTCOME_TRY(decoded, DecodePermitRequest(request));
  PermitIssuer& issuer = shared.issuer;
  if (decoded.purpose != PermitPurpose::kRequest || HasColdBound(decoded) ||
      !shared.hosts) {
    return DenyPermitRequest(issuer, {}, request, wait, now);
  }
  MergeHostLimit(issuer, decoded, now);
  PermitDecision decision{true, Duration(0)};
  if (const auto limit = FindLimit(issuer.limits, decoded.server,
                                   decoded.start_time_ms, now)) {
    const auto rate = FindShareRate(limit->per_s, *shared.hosts);
    decision =
        rate ? GivePermit(issuer.limit_permits, decoded.server, *rate, now)
             : PermitDecision{false, wait};
    issuer.denied_by_limit += decision.granted ? 0 : 1;
  }
  return EncodePermitReply({decoded.serial, decision.granted, decision.wait});
}

}  // namespace toucanhollow
