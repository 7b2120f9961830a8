#include "traffic/store_contact.h"

#include <algorithm>

namespace toucanhollow {

StoreContact RecordAnswer(const StoreContact& contact, TimePoint now) {
  StoreContact next = contact;
  next.answering_since = contact.answering_since.value_or(now);
  return next;
}

StoreContact RecordFailure(const StoreContact& contact,
                           ReadFailure failure,
                           TimePoint sent_at) {
  StoreContact next = contact;
  next.answering_since.reset();
  if (failure == ReadFailure::kStoreUnavailable) {
    next.unavailable_at = sent_at;
  }
  return next;
}

StoreContact RecordRestore(const StoreContact& contact,
                           TimePoint last_answer_at,
                           TimePoint now) {
  StoreContact next = contact;
  next.answering_since = now;
  next.unavailable_at =
      std::max(next.unavailable_at.value_or(last_answer_at), last_answer_at);
  return next;
}

TimePoint FindRemovalTime(const StoreContact& contact,
                          Duration contact_bound,
                          TimePoint now) {
  if (!contact.unavailable_at) {
    return now;
  }
  const TimePoint listed_again_by =
      contact.answering_since.value_or(now) + kReregistrationTime;
  const TimePoint bound_again_at = *contact.unavailable_at + contact_bound;
  return std::max(now, std::min(listed_again_by, bound_again_at - kSendMargin));
}

TimePoint FindServerHoldEnd(const StoreContact& contact,
                            Duration contact_bound,
                            TimePoint now) {
  if (!contact.answering_since || !contact.unavailable_at) {
    return now + kReregistrationTime;
  }
  return FindRemovalTime(contact, contact_bound, now);
}

}  // namespace toucanhollow
