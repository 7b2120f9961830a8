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

QueuedRequest Request(const std::string& account,
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

std::vector<QueueRefusal> Put(FairQueue& queue,
                              QueuedRequest request,
                              TimePoint now = At(0)) {
  EnqueueDecision decision = Enqueue(std::move(queue), std::move(request), now);
  queue = std::move(decision.queue);
  return decision.refused;
}

std::optional<QueuedRequest> Take(FairQueue& queue, TimePoint now = At(0)) {
  DequeueDecision decision = Dequeue(std::move(queue), now);
  queue = std::move(decision.queue);
  return decision.request;
}

// A queue that serves one request each 10 ms and has a backlog.
FairQueue ServedQueue(int backlog) {
  FairQueue queue;
  for (int i = 0; i < 100 + backlog; ++i) {
    Put(queue, Request("served", i));
  }
  for (int i = 1; i <= 100; ++i) {
    Take(queue, At(10L * i));
  }
  return queue;
}

// Guards against one large account that starves the others, and against a
// share that does not follow the weight.
TEST_CASE("accounts are served by weight whatever they queue") {
  FairQueue queue;
  queue = SetWeight(std::move(queue), AccountName{"double"}, 2);
  for (int i = 0; i < 200; ++i) {
    Put(queue, Request("flood", i));
  }
  for (int i = 0; i < 100; ++i) {
    Put(queue, Request("double", i));
    Put(queue, Request("small", i));
  }
  std::map<AccountName, int> served;
  for (int i = 0; i < 100; ++i) {
    ++served[Take(queue)->account];
  }
  CHECK(served[AccountName{"double"}] == 50);
  CHECK(served[AccountName{"flood"}] == 25);
  CHECK(served[AccountName{"small"}] == 25);
}

// Guards against credit for idle time, with which an account could flood.
TEST_CASE("an account that was idle gets no more than its share") {
  FairQueue queue = ServedQueue(50);
  for (int i = 0; i < 50; ++i) {
    Put(queue, Request("late", i));
  }
  int late = 0;
  for (int i = 0; i < 20; ++i) {
    late += Take(queue)->account == AccountName{"late"} ? 1 : 0;
  }
  CHECK(late == 10);
}

// Guards against a low-priority request that delays a high one, and against a
// high priority that takes from another account.
TEST_CASE("priorities order requests inside one account only") {
  FairQueue queue;
  Put(queue, Request("a", 1, Priority::kLow));
  Put(queue, Request("b", 1, Priority::kLow));
  Put(queue, Request("a", 2, Priority::kHigh));
  Put(queue, Request("a", 3, Priority::kHigh));
  CHECK(Take(queue)->request.value == "a2");
  CHECK(Take(queue)->request.value == "b1");
  CHECK(Take(queue)->request.value == "a3");
  CHECK(Take(queue)->request.value == "a1");
  CHECK_FALSE(Take(queue));
}

// Guards against work that is queued although its answer would be late, and
// against a refusal of work that would be in time.
TEST_CASE("a request is refused when its wait exceeds its deadline") {
  FairQueue queue = ServedQueue(9);
  queue.parameters.deadline_use = 1;
  const TimePoint now = At(1000);
  const Duration wait =
      ExpectedWait(queue, AccountName{"served"}, Priority::kHigh, 1, now);
  CHECK(ToMilliseconds(wait) == Approx(100).epsilon(0.05));
  QueuedRequest late = Request("served", 500);
  late.deadline = now + wait - Milliseconds(1);
  CHECK(
      Put(queue, late, now) ==
      std::vector<QueueRefusal>{{late.request, ResultCode::kDeadlineTooShort}});
  late.deadline = now + wait + Milliseconds(1);
  CHECK(Put(queue, late, now).empty());
  // The wait of another account is that of its own share.
  CHECK(ExpectedWait(queue, AccountName{"x"}, Priority::kHigh, 1, now) <
        wait / 4);
  // A stalled service is seen although nothing is dequeued.
  CHECK(ExpectedWait(queue, AccountName{"served"}, Priority::kHigh, 1,
                     At(9000)) > wait * 5 / 4);
}

// Guards against capacity that is spent on answers that come too late.
// Guards against callers that come back while their service stands and are
// refused for a rate that was measured while nothing could be served.
TEST_CASE("a halted queue promises no wait") {
  FairQueue queue;
  for (int i = 0; i < 20; ++i) {
    QueuedRequest waiting = Request("a", i);
    waiting.deadline = At(1800);
    Put(queue, waiting);
  }
  // Served before: one each 10 ms.
  for (int i = 1; i <= 10; ++i) {
    Take(queue, At(10L * i));
  }
  queue = SetHalted(std::move(queue), true, At(200));
  QueuedRequest later = Request("a", 99);
  later.deadline = At(3800);
  CHECK(Enqueue(FairQueue(queue), later, At(2000)).refused.empty());
  // It is measured anew afterwards.
  queue = SetHalted(std::move(queue), false, At(2000));
  CHECK(ExpectedWait(queue, {"a"}, Priority::kLow, 1, At(2100)) == Duration(0));
}

TEST_CASE("requests past their deadline are refused at the head") {
  FairQueue queue;
  Put(queue, Request("a", 1, Priority::kHigh, At(10)));
  Put(queue, Request("a", 2, Priority::kHigh, At(30)));
  DequeueDecision decision = Dequeue(std::move(queue), At(20));
  CHECK(decision.request->request.value == "a2");
  CHECK(decision.refused ==
        std::vector<QueueRefusal>{
            {RequestId{"a1"}, ResultCode::kDeadlineTooShort}});
  CHECK(decision.queue.size == 0);
  // A tenth of the remaining 100 ms is left for the wait at the endpoint.
  QueuedRequest tight = Request("a", 3, Priority::kHigh, At(120));
  const int service_ms = GENERATE(90, 91);
  Put(decision.queue, tight, At(20));
  decision.queue.accounts[0].high[0].expected_service =
      Milliseconds(service_ms);
  CHECK(Take(decision.queue, At(20)).has_value() == (service_ms == 90));
}

// Guards against a queue without bound, and against a flood that fills the
// queue for the others.
TEST_CASE("a full queue refuses the account that holds the most") {
  FairQueue queue;
  queue.parameters = {10, 15, 0.9};
  for (int i = 0; i < 10; ++i) {
    CHECK(Put(queue, Request("flood", i, Priority::kLow)).empty());
  }
  CHECK(Put(queue, Request("flood", 10)).front().request.value == "flood9");
  CHECK(Put(queue, Request("flood", 11, Priority::kLow)).front().code ==
        ResultCode::kAccountShareExceeded);
  for (int i = 0; i < 7; ++i) {
    const std::vector<QueueRefusal> refused = Put(queue, Request("b", i));
    REQUIRE(refused.size() == (i < 5 ? 0 : 1));
    if (i >= 5) {
      CHECK(refused.front().request.value.starts_with("flood"));
    }
  }
  CHECK(queue.size == 15);
}

// Guards against sums that drift when requests leave by other ways.
TEST_CASE("withdrawn and returned requests keep the shares") {
  FairQueue queue;
  for (int i = 0; i < 4; ++i) {
    Put(queue, Request("a", i));
    Put(queue, Request("b", i));
  }
  queue = Withdraw(std::move(queue), AccountName{"a"}, RequestId{"a1"});
  queue = Withdraw(std::move(queue), AccountName{"a"}, RequestId{"none"});
  const QueuedRequest first = *Take(queue);
  queue = PutBack(std::move(queue), first, At(0));
  CHECK(queue.size == 7);
  std::string order;
  while (const auto request = Take(queue)) {
    order += request->request.value;
  }
  CHECK(order == "a0b0a2b1a3b2b3");
  CHECK(queue.active.empty());
  CHECK(queue.queued_cost == 0);
}

// Guards against retries that multiply a failure of many endpoints.
TEST_CASE("retries stay within a tenth of the requests and the first burst") {
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
  // A long time without failures saves up for a hundred retries and no more.
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

// Guards against hedges of requests that may not run twice, before the p95,
// twice, or beyond 5%.
TEST_CASE("hedges are for idempotent requests after the p95 and within 5%") {
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
