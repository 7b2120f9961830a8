#include "traffic/store_contact.h"

#include <catch2/catch.hpp>

#include "traffic/read_timing.h"

namespace toucanhollow {
namespace {

TimePoint At(std::int64_t ms) {
  return TimePoint(Milliseconds(ms));
}

constexpr Duration kContactBound = Seconds(3);

// Guards against holding back removals because a connection fell silent, which
// says nothing about the store.
TEST_CASE("a removal is not doubted because a connection was lost") {
  StoreContact contact = RecordAnswer({}, At(0));
  contact = RecordFailure(contact, ReadFailure::kConnectionLost, At(1000));
  CHECK_FALSE(contact.answering_since);
  contact = RecordAnswer(contact, At(3000));
  CHECK(contact.answering_since == At(3000));
  CHECK(FindRemovalTime(contact, kContactBound, At(3010)) == At(3010));
}

// Guards against dropping servers whose entries expired while the store was
// away and are listed again within about two seconds.
TEST_CASE("a removal after an outage is doubted for the re-registration time") {
  StoreContact contact = RecordAnswer({}, At(0));
  contact = RecordFailure(contact, ReadFailure::kStoreUnavailable, At(1000));
  contact = RecordFailure(contact, ReadFailure::kStoreUnavailable, At(1400));
  contact = RecordAnswer(contact, At(1500));
  CHECK(FindRemovalTime(contact, kContactBound, At(1500)) == At(4000));
  // A later one is doubted no longer than the first.
  contact = RecordAnswer(contact, At(3600));
  CHECK(FindRemovalTime(contact, kContactBound, At(3600)) == At(4000));
  CHECK(FindRemovalTime(contact, kContactBound, At(9000)) == At(9000));
}

// Guards against a removal that is still doubted when the platform's bounds
// apply to the host again.
TEST_CASE("a doubted removal is in force when the bounds apply again") {
  StoreContact contact;
  // The last failed read was sent just before the store returned, and the host
  // noticed its return late.
  contact = RecordFailure(contact, ReadFailure::kStoreUnavailable, At(1000));
  contact = RecordAnswer(contact, At(2200));
  CHECK(FindRemovalTime(contact, kContactBound, At(2200)) + kSendMargin ==
        At(4000));
  // A peer tells of the removal while the store does not answer.
  contact = RecordFailure(contact, ReadFailure::kStoreUnavailable, At(8000));
  CHECK(FindRemovalTime(contact, kContactBound, At(8100)) == At(10600));
  CHECK(FindRemovalTime(contact, kContactBound, At(9900)) + kSendMargin ==
        At(11000));
}

// Guards against read times with which a host whose connections fell silent
// reads the log again only after the bounds apply to it.
TEST_CASE("lost contact is noticed and made up for within the contact bound") {
  for (std::int64_t bound = 1500; bound <= 20000; bound += 250) {
    for (std::int64_t delay = 100; delay <= 5000; delay += 150) {
      const ReadTiming timing =
          PlanReads(Milliseconds(bound), Milliseconds(delay));
      INFO("contact bound " << bound << " ms, delay " << delay << " ms");
      CHECK(FindDetectionTime(timing) + kReconnectTime <= Milliseconds(bound));
      CHECK(timing.read_delay <= Milliseconds(delay));
      CHECK(timing.long_poll_wait > Duration(0));
    }
  }
  // The reads of servers are no rarer than half of the drain bound.
  CHECK(PlanReads(Seconds(3), Seconds(1)).read_delay == Seconds(1));
  CHECK(PlanReads(Seconds(4), Milliseconds(1500)).read_delay ==
        Milliseconds(1500));
}

// Guards against dropping servers that a restored list lacks, and against using
// them beyond the time at which the bounds apply again.
TEST_CASE("an unlisted server is held for the re-registration time") {
  StoreContact contact = RecordAnswer({}, At(0));
  CHECK(FindServerHoldEnd(contact, kContactBound, At(10)) == At(2510));
  contact = RecordRestore(contact, At(2000), At(2100));
  CHECK(FindServerHoldEnd(contact, kContactBound, At(2200)) == At(4600));
  CHECK(FindRemovalTime(contact, kContactBound, At(2300)) == At(4600));
  // The store was last there long before.
  contact = RecordRestore(RecordAnswer({}, At(0)), At(500), At(2100));
  CHECK(FindServerHoldEnd(contact, kContactBound, At(2200)) == At(3200));
  // Learnt from a peer while the store does not answer.
  contact = RecordFailure(contact, ReadFailure::kStoreUnavailable, At(3000));
  CHECK(FindServerHoldEnd(contact, kContactBound, At(9000)) == At(11500));
}

// Guards against reads of megabytes in quick succession, and against pauses
// that grow without a bound.
TEST_CASE("pauses after answers that are too large grow up to a bound") {
  CHECK(FindTooLargePause(0) == Milliseconds(100));
  CHECK(FindTooLargePause(3) == Milliseconds(800));
  CHECK(FindTooLargePause(6) == Seconds(5));
  CHECK(FindTooLargePause(1'000'000) == Seconds(5));
}

}  // namespace
}  // namespace toucanhollow
