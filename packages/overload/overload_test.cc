#include <map>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "overload/budget.h"
#include "overload/fair_queue.h"

namespace toucanhollow {
namespace {

TimePoint At(std::int64_t ms) {
  return TimePoint(Milliseconds(ms));
}

QueuedRequest MakeRequest(const std::string& account,
                          int id,
                          Priority priority = Priority::kHigh,
                          TimePoint deadline = TimePoint::max()) {
  return {RequestId{account + std::to_string(id)},
          AccountName{account},
          priority,
          1,
          deadline,
          Duration(0)};
}

std::vector<QueueRefusal> EnqueueRequest(FairQueue& queue,
                                         QueuedRequest request,
                                         TimePoint now = At(0)) {
  EnqueueDecision decision = Enqueue(std::move(queue), std::move(request), now);
  queue = std::move(decision.queue);
  return decision.refused;
}

std::optional<QueuedRequest> DequeueRequest(FairQueue& queue,
                                            TimePoint now = At(0)) {
  DequeueDecision decision = Dequeue(std::move(queue), now);
  queue = std::move(decision.queue);
  return decision.request;
}

// A queue that serves one request every 10 ms and has a backlog.
FairQueue MakeServedQueue(int backlog) {
  FairQueue queue;
  for (int i = 0; i < 100 + backlog; ++i) {
    EnqueueRequest(queue, MakeRequest("served", i));
  }
  for (int i = 1; i <= 100; ++i) {
    DequeueRequest(queue, At(10L * i));
  }
  return queue;
}

// Guards against an account with many requests that starves the others, and
// against shares that do not follow the weights.
TEST_CASE("accounts are served by weight, however many requests they queue") {
  FairQueue queue;
  queue = SetWeight(std::move(queue), AccountName{"double"}, 2);
  for (int i = 0; i < 200; ++i) {
    EnqueueRequest(queue, MakeRequest("flood", i));
  }
  for (int i = 0; i < 100; ++i) {
    EnqueueRequest(queue, MakeRequest("double", i));
    EnqueueRequest(queue, MakeRequest("small", i));
  }
  std::map<AccountName, int> served;
  for (int i = 0; i < 100; ++i) {
    ++served[DequeueRequest(queue)->account];
  }
  CHECK(served[AccountName{"double"}] == 50);
  CHECK(served[AccountName{"flood"}] == 25);
  CHECK(served[AccountName{"small"}] == 25);
}

// Guards against credit for idle time, with which an account could exceed its
// share.
TEST_CASE("an account that was idle gets no more than its share") {
  FairQueue queue = MakeServedQueue(50);
  for (int i = 0; i < 50; ++i) {
    EnqueueRequest(queue, MakeRequest("late", i));
  }
  int late = 0;
  for (int i = 0; i < 20; ++i) {
    late += DequeueRequest(queue)->account == AccountName{"late"} ? 1 : 0;
  }
  CHECK(late == 10);
}

// Guards against a low-priority request that delays a high-priority one, and
// against a high-priority request that takes the share of another account.
TEST_CASE("priorities order requests inside one account only") {
  FairQueue queue;
  EnqueueRequest(queue, MakeRequest("a", 1, Priority::kLow));
  EnqueueRequest(queue, MakeRequest("b", 1, Priority::kLow));
  EnqueueRequest(queue, MakeRequest("a", 2, Priority::kHigh));
  EnqueueRequest(queue, MakeRequest("a", 3, Priority::kHigh));
  CHECK(DequeueRequest(queue)->request.value == "a2");
  CHECK(DequeueRequest(queue)->request.value == "b1");
  CHECK(DequeueRequest(queue)->request.value == "a3");
  CHECK(DequeueRequest(queue)->request.value == "a1");
  CHECK_FALSE(DequeueRequest(queue));
}

// Guards against queueing a request that would finish too late, and against
// refusing one that would finish in time.
TEST_CASE("a request is refused when its wait exceeds its deadline") {
  FairQueue queue = MakeServedQueue(9);
  queue.parameters.deadline_use = 1;
  const TimePoint now = At(1000);
  const Duration wait =
      ExpectedWait(queue, AccountName{"served"}, Priority::kHigh, 1, now);
  CHECK(ToMilliseconds(wait) == Approx(100).epsilon(0.05));
  QueuedRequest late = MakeRequest("served", 500);
  late.deadline = now + wait - Milliseconds(1);
  CHECK(
      EnqueueRequest(queue, late, now) ==
      std::vector<QueueRefusal>{{late.request, ResultCode::kDeadlineTooShort}});
  late.deadline = now + wait + Milliseconds(1);
  CHECK(EnqueueRequest(queue, late, now).empty());
  // The wait of another account depends on that account's share.
  CHECK(ExpectedWait(queue, AccountName{"x"}, Priority::kHigh, 1, now) <
        wait / 4);
  // A stall of the service is noticed although nothing is dequeued.
  CHECK(ExpectedWait(queue, AccountName{"served"}, Priority::kHigh, 1,
                     At(9000)) > wait * 5 / 4);
}

// Guards against refusing retries while the service is halted because of a rate
// that was measured while nothing could be served.
TEST_CASE("a halted queue refuses no request for its expected wait") {
  FairQueue queue;
  for (int i = 0; i < 20; ++i) {
    QueuedRequest waiting = MakeRequest("a", i);
    waiting.deadline = At(1800);
    EnqueueRequest(queue, waiting);
  }
  // The service rate before the halt is one request every 10 ms.
  for (int i = 1; i <= 10; ++i) {
    DequeueRequest(queue, At(10L * i));
  }
  queue = SetHalted(std::move(queue), true, At(200));
  QueuedRequest later = MakeRequest("a", 99);
  later.deadline = At(3800);
  CHECK(Enqueue(FairQueue(queue), later, At(2000)).refused.empty());
  // The rate is measured again afterwards.
  queue = SetHalted(std::move(queue), false, At(2000));
  CHECK(ExpectedWait(queue, {"a"}, Priority::kLow, 1, At(2100)) == Duration(0));
}

// Guards against spending capacity on answers that arrive too late.
TEST_CASE("requests past their deadline are refused at the head") {
  FairQueue queue;
  EnqueueRequest(queue, MakeRequest("a", 1, Priority::kHigh, At(10)));
  EnqueueRequest(queue, MakeRequest("a", 2, Priority::kHigh, At(30)));
  DequeueDecision decision = Dequeue(std::move(queue), At(20));
  CHECK(decision.request->request.value == "a2");
  CHECK(decision.refused ==
        std::vector<QueueRefusal>{
            {RequestId{"a1"}, ResultCode::kDeadlineTooShort}});
  CHECK(decision.queue.size == 0);
  // A tenth of the remaining 100 ms is left for the wait at the endpoint.
  QueuedRequest tight = MakeRequest("a", 3, Priority::kHigh, At(120));
  const int service_ms = GENERATE(90, 91);
  EnqueueRequest(decision.queue, tight, At(20));
  decision.queue.accounts[0].high[0].expected_service =
      Milliseconds(service_ms);
  CHECK(DequeueRequest(decision.queue, At(20)).has_value() ==
        (service_ms == 90));
}

// Guards against an unbounded queue, and against an account that fills the
// queue so that others are refused.
TEST_CASE("a full queue displaces requests of the largest account") {
  FairQueue queue;
  queue.parameters = {10, 15, 0.9};
  for (int i = 0; i < 10; ++i) {
    CHECK(
        EnqueueRequest(queue, MakeRequest("flood", i, Priority::kLow)).empty());
  }
  CHECK(EnqueueRequest(queue, MakeRequest("flood", 10)).front().request.value ==
        "flood9");
  CHECK(EnqueueRequest(queue, MakeRequest("flood", 11, Priority::kLow))
            .front()
            .code == ResultCode::kAccountShareExceeded);
  for (int i = 0; i < 7; ++i) {
    const std::vector<QueueRefusal> refused =
        EnqueueRequest(queue, MakeRequest("b", i));
    REQUIRE(refused.size() == (i < 5 ? 0 : 1));
    if (i >= 5) {
      CHECK(refused.front().request.value.starts_with("flood"));
    }
  }
  CHECK(queue.size == 15);
}

// Guards against sums that become wrong when requests leave the queue without
// being served.
TEST_CASE("withdrawn and requeued requests preserve the shares") {
  FairQueue queue;
  for (int i = 0; i < 4; ++i) {
    EnqueueRequest(queue, MakeRequest("a", i));
    EnqueueRequest(queue, MakeRequest("b", i));
  }
  queue = Withdraw(std::move(queue), AccountName{"a"}, RequestId{"a1"});
  queue = Withdraw(std::move(queue), AccountName{"a"}, RequestId{"none"});
  const QueuedRequest first = *DequeueRequest(queue);
  queue = Requeue(std::move(queue), first, At(0));
  CHECK(queue.size == 7);
  std::string order;
  while (const auto request = DequeueRequest(queue)) {
    order += request->request.value;
  }
  CHECK(order == "a0b0a2b1a3b2b3");
  CHECK(queue.active.empty());
  CHECK(queue.queued_cost == 0);
}

// Guards against retries that multiply the load when many endpoints fail.
TEST_CASE("retries stay within 10% of the requests and the initial tokens") {
  Budget budget = MakeRetryBudget();
  int retries = 0;
  for (int i = 0; i < 10000; ++i) {
    budget = RecordRequest(budget);
    for (int attempt = 0; attempt < 3; ++attempt) {
      const SpendDecision spent = SpendRetry(budget);
      budget = spent.budget;
      retries += spent.allowed ? 1 : 0;
    }
  }
  CHECK(retries >= 1000);
  CHECK(retries <= 1010);
  // After a long time without failures there are tokens for 100 retries and no
  // more.
  for (int i = 0; i < 10000; ++i) {
    budget = RecordRequest(budget);
  }
  int burst = 0;
  while (SpendRetry(budget).allowed) {
    budget = SpendRetry(budget).budget;
    ++burst;
  }
  CHECK(burst == 100);
}

// Guards against hedging requests that may not run twice, before the 95th
// percentile of answer times, more than once, or beyond 5% of requests.
TEST_CASE("idempotent requests are hedged once after the p95 and within 5%") {
  HedgeState state;
  CHECK_FALSE(HedgeDelay(state));
  for (int i = 1; i <= 1000; ++i) {
    state = RecordAnswerTime(state, Milliseconds(i));
  }
  const Duration p95 = *HedgeDelay(state);
  CHECK(ToMilliseconds(p95) == Approx(950).epsilon(0.1));
  int hedges = 0;
  for (int i = 0; i < 10000; ++i) {
    state = RecordIdempotentRequest(state);
    const HedgeDecision decision = ShouldHedge(state, {true, true, 0, p95});
    state = decision.state;
    hedges += decision.hedge ? 1 : 0;
  }
  CHECK(hedges >= 499);
  CHECK(hedges <= 500);
  state.budget.tokens = 5;
  CHECK_FALSE(ShouldHedge(state, {false, true, 0, p95}).hedge);
  CHECK_FALSE(ShouldHedge(state, {true, false, 0, p95}).hedge);
  CHECK_FALSE(ShouldHedge(state, {true, true, 1, p95}).hedge);
  CHECK_FALSE(ShouldHedge(state, {true, true, 0, p95 / 2}).hedge);
  CHECK(ShouldHedge(state, {true, true, 0, p95}).hedge);
}

}  // namespace
}  // namespace toucanhollow
