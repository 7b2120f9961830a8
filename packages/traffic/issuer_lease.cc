#include "traffic/issuer_lease.h"

namespace toucanhollow {
namespace {

bool IsSameOrNext(const StorePosition& before, const StorePosition& after) {
  return after.era == before.era &&
         (after.number == before.number || after.number == before.number + 1);
}

}  // namespace

IssuerLease RenewLease(const IssuerLease& lease, const JoinAnswer& answer) {
  IssuerLease renewed;
  renewed.generation = answer.generation;
  if (!answer.is_holder) {
    return renewed;
  }
  const bool uninterrupted =
      lease.is_holder && IsSameOrNext(lease.generation, answer.generation);
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

StorePosition IssuingGeneration(const IssuerLease& lease, BootTime now) {
  return MayIssue(lease, now) ? lease.generation : StorePosition{};
}

}  // namespace toucanhollow
