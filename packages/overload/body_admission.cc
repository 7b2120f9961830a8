#include "overload/body_admission.h"

#include <algorithm>
#include <utility>

namespace toucanhollow {
namespace {

constexpr std::size_t kMaxSmallBodyBytes = std::size_t{256} * 1024;
// The kernel holds a part of each body that waits.
constexpr std::size_t kMaxWaitingBodies = 64;
// Weight of one body in the mean time for which memory is held.
constexpr double kHoldWeight = 0.1;

std::deque<BodyReservation>& Queue(BodyAdmission& admission, MemoryUse use) {
  return use == MemoryUse::kSmallBody ? admission.small : admission.large;
}

bool Fits(const BodyAdmission& admission, std::size_t bytes) {
  return bytes <= FreeBytes(admission.budget, BodyUse(bytes));
}

void GrantWaiting(AdvanceBodiesDecision& decision, MemoryUse use) {
  BodyAdmission& admission = decision.admission;
  std::deque<BodyReservation>& queue = Queue(admission, use);
  while (!queue.empty() && Fits(admission, queue.front().bytes)) {
    const BodyReservation body = queue.front();
    queue.pop_front();
    admission.budget = Hold(admission.budget, use, body.bytes);
    decision.granted.push_back(body.ticket);
  }
}

}  // namespace

MemoryUse BodyUse(std::size_t bytes) {
  return bytes <= kMaxSmallBodyBytes ? MemoryUse::kSmallBody
                                     : MemoryUse::kLargeBody;
}

Duration ExpectedBodyWait(const BodyAdmission& admission, std::size_t bytes) {
  const MemoryUse use = BodyUse(bytes);
  std::size_t before = bytes;
  for (const BodyReservation& body :
       use == MemoryUse::kSmallBody ? admission.small : admission.large) {
    before += body.bytes;
  }
  const std::size_t free = FreeBytes(admission.budget, use);
  if (before <= free) {
    return Duration(0);
  }
  const double shares = static_cast<double>(before - free) /
                        static_cast<double>(MaxBytes(admission.budget, use));
  return std::chrono::duration_cast<Duration>(admission.mean_hold * shares);
}

AdmitBodyDecision AdmitBody(BodyAdmission&& admission,
                            const BodyReservation& body,
                            TimePoint now) {
  AdmitBodyDecision decision{std::move(admission)};
  BodyAdmission& next = decision.admission;
  const MemoryUse use = BodyUse(body.bytes);
  std::deque<BodyReservation>& queue = Queue(next, use);
  if (queue.empty() && Fits(next, body.bytes)) {
    next.budget = Hold(next.budget, use, body.bytes);
    decision.verdict = BodyVerdict::kGranted;
    return decision;
  }
  const bool can_fit = body.bytes <= MaxBytes(next.budget, use);
  const bool in_time =
      now + ExpectedBodyWait(next, body.bytes) < body.wait_until;
  if (can_fit && in_time &&
      next.small.size() + next.large.size() < kMaxWaitingBodies) {
    queue.push_back(body);
    decision.verdict = BodyVerdict::kWaits;
  }
  return decision;
}

BodyAdmission ReleaseBody(BodyAdmission&& admission,
                          MemoryUse use,
                          std::size_t bytes,
                          Duration held_for) {
  BodyAdmission next = std::move(admission);
  next.budget = Release(next.budget, use, bytes);
  if (use != MemoryUse::kLargeBody) {
    return next;
  }
  next.mean_hold =
      next.mean_hold == Duration(0)
          ? held_for
          : next.mean_hold + std::chrono::duration_cast<Duration>(
                                 (held_for - next.mean_hold) * kHoldWeight);
  return next;
}

AdvanceBodiesDecision AdvanceBodies(BodyAdmission&& admission, TimePoint now) {
  AdvanceBodiesDecision decision{std::move(admission), {}, {}};
  BodyAdmission& next = decision.admission;
  GrantWaiting(decision, MemoryUse::kSmallBody);
  GrantWaiting(decision, MemoryUse::kLargeBody);
  for (std::deque<BodyReservation>* queue : {&next.small, &next.large}) {
    std::erase_if(*queue, [&](const BodyReservation& body) {
      const bool late = now >= body.wait_until;
      if (late) {
        decision.refused.push_back(body.ticket);
      }
      return late;
    });
  }
  return decision;
}

BodyAdmission WithdrawBody(BodyAdmission&& admission, std::uint64_t ticket) {
  BodyAdmission next = std::move(admission);
  for (std::deque<BodyReservation>* queue : {&next.small, &next.large}) {
    std::erase_if(*queue, [ticket](const BodyReservation& body) {
      return body.ticket == ticket;
    });
  }
  return next;
}

}  // namespace toucanhollow
