#include "overload/memory_budget.h"

#include <catch2/catch.hpp>

#include "overload/body_admission.h"

namespace toucanhollow {
namespace {

constexpr std::size_t kMebibyte = std::size_t{1024} * 1024;
constexpr std::size_t kSmall = 100'000;

TimePoint At(Duration time) {
  return TimePoint(Seconds(1000) + time);
}

BodyAdmission Empty() {
  BodyAdmission admission;
  admission.budget.capacity = 120 * kMebibyte;
  return admission;
}

// Asks for a body that may wait for 300 ms.
BodyVerdict Ask(BodyAdmission& admission,
                std::uint64_t ticket,
                std::size_t bytes,
                TimePoint now = At(Duration(0))) {
  AdmitBodyDecision decision = AdmitBody(
      std::move(admission), {ticket, bytes, now + Milliseconds(300)}, now);
  admission = std::move(decision.admission);
  return decision.verdict;
}

// Fills the part of the budget for large bodies with 15 bodies of 4 MiB.
BodyAdmission Filled() {
  BodyAdmission admission = Empty();
  for (std::uint64_t ticket = 1; ticket <= 15; ++ticket) {
    REQUIRE(Ask(admission, ticket, 4 * kMebibyte) == BodyVerdict::kGranted);
  }
  return admission;
}

BodyAdmission ReleaseOne(BodyAdmission admission, Duration held_for) {
  return ReleaseBody(std::move(admission), MemoryUse::kLargeBody, 4 * kMebibyte,
                     held_for);
}

TEST_CASE("the budget is what the process itself leaves of its limit") {
  CHECK(MakeMemoryBudget(160 * kMebibyte).capacity == 112 * kMebibyte);
  CHECK(MakeMemoryBudget(40 * kMebibyte).capacity == 20 * kMebibyte);
  CHECK(MakeMemoryBudget(0).capacity == 0);
}

// Guards against large bodies that leave no memory for small requests.
TEST_CASE("less important uses leave room for more important ones") {
  MemoryBudget budget{1000, {}};
  CHECK(FreeBytes(budget, MemoryUse::kIdleBuffer) == 250);
  budget = Hold(budget, MemoryUse::kIdleBuffer, 250);
  CHECK(FreeBytes(budget, MemoryUse::kIdleBuffer) == 0);
  CHECK(FreeBytes(budget, MemoryUse::kLargeBody) == 250);
  budget = Release(budget, MemoryUse::kIdleBuffer, 250);
  CHECK(FreeBytes(budget, MemoryUse::kLargeBody) == 500);
  budget = Hold(budget, MemoryUse::kLargeBody, 500);
  CHECK(FreeBytes(budget, MemoryUse::kLargeBody) == 0);
  CHECK(FreeBytes(budget, MemoryUse::kSmallBody) == 100);
  budget = Hold(budget, MemoryUse::kSmallBody, 100);
  CHECK(FreeBytes(budget, MemoryUse::kAnswer) == 100);
  budget = Hold(budget, MemoryUse::kAnswer, 100);
  CHECK(FreeBytes(budget, MemoryUse::kConnection) == 300);
  budget = Release(budget, MemoryUse::kLargeBody, 500);
  CHECK(FreeBytes(budget, MemoryUse::kLargeBody) == 300);
}

TEST_CASE("a large body waits for memory and small ones do not wait for it") {
  BodyAdmission admission = Filled();
  CHECK(Ask(admission, 16, 4 * kMebibyte) == BodyVerdict::kWaits);
  CHECK(Ask(admission, 17, 4 * kMebibyte) == BodyVerdict::kWaits);
  CHECK(Ask(admission, 18, kSmall) == BodyVerdict::kGranted);
  AdvanceBodiesDecision decision =
      AdvanceBodies(std::move(admission), At(Milliseconds(10)));
  CHECK(decision.granted.empty());
  decision = AdvanceBodies(
      ReleaseBody(ReleaseOne(std::move(decision.admission), Milliseconds(20)),
                  MemoryUse::kSmallBody, kSmall, Milliseconds(5)),
      At(Milliseconds(20)));
  CHECK(decision.granted == std::vector<std::uint64_t>{16});
  CHECK(decision.refused.empty());
  decision =
      AdvanceBodies(std::move(decision.admission), At(Milliseconds(300)));
  CHECK(decision.granted.empty());
  CHECK(decision.refused == std::vector<std::uint64_t>{17});
  CHECK(decision.admission.large.empty());
}

// Guards against a smaller body that overtakes a larger one again and again.
TEST_CASE("large bodies are granted in the order of their arrival") {
  BodyAdmission admission = Filled();
  CHECK(Ask(admission, 16, 8 * kMebibyte) == BodyVerdict::kWaits);
  admission = ReleaseOne(std::move(admission), Milliseconds(20));
  CHECK(Ask(admission, 17, 4 * kMebibyte) == BodyVerdict::kWaits);
  admission = ReleaseOne(std::move(admission), Milliseconds(20));
  const AdvanceBodiesDecision decision =
      AdvanceBodies(std::move(admission), At(Milliseconds(20)));
  CHECK(decision.granted == std::vector<std::uint64_t>{16});
}

// Guards against callers that are kept waiting for a refusal.
TEST_CASE("a body that is not expected to fit in time is refused at once") {
  BodyAdmission admission =
      ReleaseOne(Filled(), Seconds(6));  // 15 bodies, each held for 6 s
  REQUIRE(Ask(admission, 16, 4 * kMebibyte) == BodyVerdict::kGranted);
  CHECK(ExpectedBodyWait(admission, 4 * kMebibyte) == Milliseconds(400));
  CHECK(Ask(admission, 17, 4 * kMebibyte) == BodyVerdict::kRefused);
  CHECK(Ask(admission, 18, kSmall) == BodyVerdict::kGranted);
}

TEST_CASE("a body that never fits is refused at once") {
  BodyAdmission admission = Empty();
  CHECK(Ask(admission, 1, 61 * kMebibyte) == BodyVerdict::kRefused);
  CHECK(Ask(admission, 2, 60 * kMebibyte) == BodyVerdict::kGranted);
}

// Guards against memory of the kernel that grows with the bodies that wait.
TEST_CASE("a limited number of bodies waits") {
  BodyAdmission admission = Filled();
  for (std::uint64_t ticket = 100; ticket < 164; ++ticket) {
    CHECK(Ask(admission, ticket, kMebibyte) == BodyVerdict::kWaits);
  }
  CHECK(Ask(admission, 164, kMebibyte) == BodyVerdict::kRefused);
  admission = WithdrawBody(std::move(admission), 130);
  CHECK(Ask(admission, 165, kMebibyte) == BodyVerdict::kWaits);
  const AdvanceBodiesDecision decision = AdvanceBodies(
      ReleaseOne(std::move(admission), Milliseconds(1)), At(Milliseconds(1)));
  CHECK(decision.granted == std::vector<std::uint64_t>{100, 101, 102, 103});
}

}  // namespace
}  // namespace toucanhollow
