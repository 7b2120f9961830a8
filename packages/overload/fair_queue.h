// FairQueue: the entry host's request queue. Client accounts share it by
// weight; within an account, high-priority requests precede low-priority ones.
#ifndef OVERLOAD_FAIR_QUEUE_H_
#define OVERLOAD_FAIR_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/name.h"
#include "base/result_code.h"
#include "base/time.h"
#include "overload/service_rate.h"

namespace toucanhollow {

enum class Priority { kHigh, kLow };

struct QueuedRequest {
  RequestId request;
  AccountName account;
  Priority priority = Priority::kHigh;
  // Work in any unit that is the same for all requests of a queue, such as
  // expected tokens.
  double cost = 1;
  TimePoint deadline = TimePoint::max();
  // Time that the request needs once it runs; it must be finished by the
  // deadline.
  Duration expected_service{0};

  bool operator==(const QueuedRequest&) const = default;
};

struct FairQueueParameters {
  int account_limit = 256;
  int total_limit = 2048;
  // Fraction of the remaining deadline that the expected wait and the service
  // may take, when a request is queued and when it leaves the queue. The rest
  // covers the errors of both estimates and the wait at the endpoint.
  double deadline_use = 0.9;

  bool operator==(const FairQueueParameters&) const = default;
};

struct AccountQueue {
  AccountName account;
  double weight = 1;
  // Virtual time at which the account's next request may start.
  double start_tag = 0;
  double high_cost = 0;
  double low_cost = 0;
  std::deque<QueuedRequest> high;
  std::deque<QueuedRequest> low;

  bool operator==(const AccountQueue&) const = default;
};

struct FairQueue {
  FairQueueParameters parameters;
  std::vector<AccountQueue> accounts;
  std::map<AccountName, int> account_index;
  // Start tag and index of the accounts that have queued requests.
  std::set<std::pair<double, int>> active;
  double active_weight = 0;
  double virtual_time = 0;
  double queued_cost = 0;
  int size = 0;
  ServiceRate rate;
  // No request can be served for now, regardless of the state of the queue.
  bool halted = false;

  bool operator==(const FairQueue&) const = default;
};

struct QueueRefusal {
  RequestId request;
  ResultCode code = ResultCode::kOverloaded;

  bool operator==(const QueueRefusal&) const = default;
};

// All operations take the queue by move, because it holds every waiting
// request.

// Sets the account's share relative to the others; the default is 1.
FairQueue SetWeight(FairQueue&& queue,
                    const AccountName& account,
                    double weight);

// Sets whether serving is halted. A change discards the measured service rate,
// because the rate before it does not predict the rate after it.
FairQueue SetHalted(FairQueue&& queue, bool halted, TimePoint now);

struct EnqueueDecision {
  FairQueue queue;
  // The request itself, or queued requests that it displaced. None of them has
  // run.
  std::vector<QueueRefusal> refused;

  bool operator==(const EnqueueDecision&) const = default;
};

// Queues the request. Codes of refusals: kDeadlineTooShort (the expected wait
// exceeds the remaining deadline), kAccountShareExceeded (the account's queue
// is full, or the queue is full and this account holds the largest part of it).
EnqueueDecision Enqueue(FairQueue&& queue,
                        QueuedRequest request,
                        TimePoint now);

struct DequeueDecision {
  FairQueue queue;
  std::optional<QueuedRequest> request;
  // Requests that can no longer be finished by their deadline, with
  // kDeadlineTooShort.
  std::vector<QueueRefusal> refused;

  bool operator==(const DequeueDecision&) const = default;
};

// Removes the next request to run; to be called when a slot is free.
DequeueDecision Dequeue(FairQueue&& queue, TimePoint now);

// Returns a dequeued request that could not be sent to the head of its
// account's queue, and refunds its cost to the account.
FairQueue Requeue(FairQueue&& queue, QueuedRequest request, TimePoint now);

// Removes a request whose caller has disconnected.
FairQueue Withdraw(FairQueue&& queue,
                   const AccountName& account,
                   const RequestId& request);

// Expected wait of another request of the account.
Duration ExpectedWait(const FairQueue& queue,
                      const AccountName& account,
                      Priority priority,
                      double cost,
                      TimePoint now);

}  // namespace toucanhollow

#endif  // OVERLOAD_FAIR_QUEUE_H_
