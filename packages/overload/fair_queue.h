// FairQueue: the entry host's queue, shared by weight between client accounts
// and ordered by two priorities inside each account.
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
  // Time that the request needs once it runs, to be done by the deadline.
  Duration expected_service{0};

  bool operator==(const QueuedRequest&) const = default;
};

struct FairQueueParameters {
  int account_limit = 256;
  int total_limit = 2048;
  // Part of the remaining deadline that the expected wait and the service may
  // take, when a request is queued and when it leaves the queue. The rest
  // covers the error of both estimates and the wait at the endpoint.
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
  // Start tag and index of the accounts that have requests queued.
  std::set<std::pair<double, int>> active;
  double active_weight = 0;
  double virtual_time = 0;
  double queued_cost = 0;
  int size = 0;
  ServiceRate rate;
  // Nothing can be served for now, whatever the queue does.
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

// Says that nothing can be served, or can be again. The rate of before says
// nothing about the time after, so it is measured anew.
FairQueue SetHalted(FairQueue&& queue, bool halted, TimePoint now);

struct EnqueueDecision {
  FairQueue queue;
  // The request itself, or waiting requests that it displaced. All are
  // certainly not run.
  std::vector<QueueRefusal> refused;

  bool operator==(const EnqueueDecision&) const = default;
};

// Queues the request. Codes: kDeadlineTooShort (the expected wait exceeds the
// remaining deadline), kAccountShareExceeded (the account's queue is full, or
// the queue is full and this account holds the most of it).
EnqueueDecision Enqueue(FairQueue&& queue,
                        QueuedRequest request,
                        TimePoint now);

struct DequeueDecision {
  FairQueue queue;
  std::optional<QueuedRequest> request;
  // Requests that cannot be done by their deadline any more, with
  // kDeadlineTooShort.
  std::vector<QueueRefusal> refused;

  bool operator==(const DequeueDecision&) const = default;
};

// The next request to run; to be called when a slot is free.
DequeueDecision Dequeue(FairQueue&& queue, TimePoint now);

// Puts a request back at the head of its account, after a dequeued request
// could not be sent. Its cost is given back to the account.
FairQueue PutBack(FairQueue&& queue, QueuedRequest request, TimePoint now);

// Removes a request whose caller has left.
FairQueue Withdraw(FairQueue&& queue,
                   const AccountName& account,
                   const RequestId& request);

// Expected wait of a further request of the account.
Duration ExpectedWait(const FairQueue& queue,
                      const AccountName& account,
                      Priority priority,
                      double cost,
                      TimePoint now);

}  // namespace toucanhollow

#endif  // OVERLOAD_FAIR_QUEUE_H_
