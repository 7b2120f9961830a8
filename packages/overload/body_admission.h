// BodyAdmission: which request bodies may be read into memory, and which wait
// or are refused.
//
// The whole size of a body is reserved before it is read on, so that bodies
// never wait for each other with a part of their memory.
#ifndef OVERLOAD_BODY_ADMISSION_H_
#define OVERLOAD_BODY_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "base/time.h"
#include "overload/memory_budget.h"

namespace toucanhollow {

struct BodyReservation {
  std::uint64_t ticket = 0;
  std::size_t bytes = 0;
  TimePoint wait_until;

  bool operator==(const BodyReservation&) const = default;
};

struct BodyAdmission {
  MemoryBudget budget;
  // In the order of their arrival. Small bodies do not wait for large ones.
  std::deque<BodyReservation> small;
  std::deque<BodyReservation> large;
  // How long memory was held for a large body, on average; zero until known.
  Duration mean_hold{0};

  bool operator==(const BodyAdmission&) const = default;
};

enum class BodyVerdict { kGranted, kWaits, kRefused };

// kSmallBody or kLargeBody.
MemoryUse BodyUse(std::size_t bytes);

// The expected time until a body of this size is granted, behind those that
// wait; zero if it fits now or nothing is known yet.
Duration ExpectedBodyWait(const BodyAdmission& admission, std::size_t bytes);

struct AdmitBodyDecision {
  BodyAdmission admission;
  BodyVerdict verdict = BodyVerdict::kRefused;

  bool operator==(const AdmitBodyDecision&) const = default;
};

// Grants the reservation if it fits and none waits before it. Else it waits,
// unless too many wait or it is not expected to fit in time.
AdmitBodyDecision AdmitBody(BodyAdmission&& admission,
                            const BodyReservation& body,
                            TimePoint now);

// Releases the memory of a body that was granted `held_for` ago.
BodyAdmission ReleaseBody(BodyAdmission&& admission,
                          MemoryUse use,
                          std::size_t bytes,
                          Duration held_for);

struct AdvanceBodiesDecision {
  BodyAdmission admission;
  // Tickets of bodies that have waited.
  std::vector<std::uint64_t> granted;
  std::vector<std::uint64_t> refused;

  bool operator==(const AdvanceBodiesDecision&) const = default;
};

// To be called after bytes were released, and periodically. Grants bodies that
// fit now, and refuses those that have waited for too long. The refused ones
// have no memory.
AdvanceBodiesDecision AdvanceBodies(BodyAdmission&& admission, TimePoint now);

// Removes a body that waits.
BodyAdmission WithdrawBody(BodyAdmission&& admission, std::uint64_t ticket);

}  // namespace toucanhollow

#endif  // OVERLOAD_BODY_ADMISSION_H_
