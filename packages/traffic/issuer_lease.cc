#include "traffic/issuer_lease.h"

namespace toucanhollow {

IssuerLease RenewLease(const IssuerLease& lease, const JoinAnswer& answer) {
  IssuerLease renewed;
  renewed.generation = answer.generation;
  if (!answer.is_holder) {
    return renewed;
  }
  const bool uninterrupted =
      lease.is_holder && (answer.generation == lease.generation ||
                          answer.generation == lease.generation + 1);
  renewed.is_holder = true;
  renewed.issues_from =
      uninterrupted ? lease.issues_from : answer.answered_at + kIssuerWaitTime;
  renewed.issues_until = answer.asked_at + kIssuerLeaseTime;
  return renewed;
}

bool MayIssue(const IssuerLease& lease, BootTime now) {
  return lease.is_holder && now >= lease.issues_from &&
         now < lease.issues_until;
}

std::int64_t IssuingGeneration(const IssuerLease& lease, BootTime now) {
  return MayIssue(lease, now) ? lease.generation : 0;
}

}  // namespace toucanhollow
