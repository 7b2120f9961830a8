#include "overload/fair_queue.h"

#include <algorithm>
#include <limits>

namespace toucanhollow {
namespace {

bool IsEmpty(const AccountQueue& account) {
  return account.high.empty() && account.low.empty();
}

int Length(const AccountQueue& account) {
  return static_cast<int>(account.high.size() + account.low.size());
}

std::deque<QueuedRequest>& QueueOf(AccountQueue& account, Priority priority) {
  return priority == Priority::kHigh ? account.high : account.low;
}

double& CostOf(AccountQueue& account, Priority priority) {
  return priority == Priority::kHigh ? account.high_cost : account.low_cost;
}

int FindOrAddAccount(FairQueue& queue, const AccountName& name) {
  const auto [entry, inserted] = queue.account_index.try_emplace(
      name, static_cast<int>(queue.accounts.size()));
  if (inserted) {
    AccountQueue account;
    account.account = name;
    queue.accounts.push_back(std::move(account));
  }
  return entry->second;
}

void OpenRateWindow(FairQueue& queue, TimePoint now) {
  if (!queue.halted) {
    queue.rate = OpenWindow(queue.rate, now);
  }
}

void Activate(FairQueue& queue, int index, TimePoint now) {
  AccountQueue& account = queue.accounts[index];
  // An idle account accumulates no credit for the time that it did not use.
  account.start_tag = std::max(account.start_tag, queue.virtual_time);
  queue.active.emplace(account.start_tag, index);
  queue.active_weight += account.weight;
  OpenRateWindow(queue, now);
}

void Deactivate(FairQueue& queue, int index) {
  AccountQueue& account = queue.accounts[index];
  queue.active.erase({account.start_tag, index});
  queue.active_weight -= account.weight;
  account.high_cost = 0;
  account.low_cost = 0;
}

// Updates the sums for a request that was taken out of its queue.
void UpdateSumsAfterRemoval(FairQueue& queue,
                            int index,
                            const QueuedRequest& request) {
  AccountQueue& account = queue.accounts[index];
  CostOf(account, request.priority) -= request.cost;
  queue.queued_cost -= request.cost;
  --queue.size;
  if (IsEmpty(account)) {
    Deactivate(queue, index);
  }
  if (queue.size == 0) {
    // Discards accumulated rounding errors.
    queue.queued_cost = 0;
    queue.active_weight = 0;
  }
}

QueuedRequest PopFront(FairQueue& queue, int index) {
  AccountQueue& account = queue.accounts[index];
  std::deque<QueuedRequest>& source =
      account.high.empty() ? account.low : account.high;
  QueuedRequest request = std::move(source.front());
  source.pop_front();
  UpdateSumsAfterRemoval(queue, index, request);
  return request;
}

// Removes the newest request of the lowest priority of an account.
QueuedRequest PopBack(FairQueue& queue, int index) {
  AccountQueue& account = queue.accounts[index];
  std::deque<QueuedRequest>& source =
      account.low.empty() ? account.high : account.low;
  QueuedRequest request = std::move(source.back());
  source.pop_back();
  UpdateSumsAfterRemoval(queue, index, request);
  return request;
}

// The account with the most queued cost in proportion to its weight.
int LargestAccount(const FairQueue& queue) {
  int largest = -1;
  double most = -1;
  for (const auto& [tag, index] : queue.active) {
    const AccountQueue& account = queue.accounts[index];
    const double share =
        (account.high_cost + account.low_cost) / account.weight;
    if (share > most) {
      most = share;
      largest = index;
    }
  }
  return largest;
}

double ExpectedWaitMs(const FairQueue& queue,
                      int index,
                      Priority priority,
                      double cost,
                      TimePoint now) {
  if (queue.size == 0) {
    return 0;
  }
  const double rate = CostPerMs(queue.rate, now);
  if (rate <= 0) {
    // The rate is unknown after the start. A queue that is not served at all is
    // bounded by its limits and by the deadlines.
    return 0;
  }
  const AccountQueue* account = index < 0 ? nullptr : &queue.accounts[index];
  const double weight = account == nullptr ? 1 : account->weight;
  double cost_ahead = cost;
  if (account != nullptr) {
    cost_ahead += account->high_cost;
    cost_ahead += priority == Priority::kLow ? account->low_cost : 0;
  }
  const bool active = account != nullptr && !IsEmpty(*account);
  const double all_weights = queue.active_weight + (active ? 0 : weight);
  const double by_share = cost_ahead * all_weights / (weight * rate);
  const double by_total_cost = (queue.queued_cost + cost) / rate;
  return std::min(by_share, by_total_cost);
}

double MaxWaitMs(const QueuedRequest& request,
                 double deadline_use,
                 TimePoint now) {
  if (request.deadline == TimePoint::max()) {
    return std::numeric_limits<double>::infinity();
  }
  return ToMilliseconds(request.deadline - now) * deadline_use -
         ToMilliseconds(request.expected_service);
}

}  // namespace

FairQueue SetWeight(FairQueue&& queue,
                    const AccountName& account,
                    double weight) {
  const int index = FindOrAddAccount(queue, account);
  AccountQueue& entry = queue.accounts[index];
  if (!IsEmpty(entry)) {
    queue.active_weight += weight - entry.weight;
  }
  entry.weight = weight;
  return std::move(queue);
}

FairQueue SetHalted(FairQueue&& queue, bool halted, TimePoint now) {
  if (queue.halted != halted) {
    queue.halted = halted;
    queue.rate = ServiceRate{};
    if (queue.size > 0) {
      OpenRateWindow(queue, now);
    }
  }
  return std::move(queue);
}

EnqueueDecision Enqueue(FairQueue&& queue,
                        QueuedRequest request,
                        TimePoint now) {
  EnqueueDecision decision{std::move(queue), {}};
  FairQueue& next = decision.queue;
  const int index = FindOrAddAccount(next, request.account);
  const double wait_ms =
      ExpectedWaitMs(next, index, request.priority, request.cost, now);
  if (wait_ms > MaxWaitMs(request, next.parameters.deadline_use, now)) {
    decision.refused.push_back(
        {std::move(request.request), ResultCode::kDeadlineTooShort});
    return decision;
  }
  const bool account_full =
      Length(next.accounts[index]) >= next.parameters.account_limit;
  if (account_full || next.size >= next.parameters.total_limit) {
    const int displaced_account = account_full ? index : LargestAccount(next);
    const bool can_displace =
        displaced_account >= 0 &&
        (displaced_account != index || (request.priority == Priority::kHigh &&
                                        !next.accounts[index].low.empty()));
    if (!can_displace) {
      decision.refused.push_back(
          {std::move(request.request), ResultCode::kAccountShareExceeded});
      return decision;
    }
    decision.refused.push_back({PopBack(next, displaced_account).request,
                                ResultCode::kAccountShareExceeded});
  }
  if (IsEmpty(next.accounts[index])) {
    Activate(next, index, now);
  }
  AccountQueue& account = next.accounts[index];
  CostOf(account, request.priority) += request.cost;
  next.queued_cost += request.cost;
  ++next.size;
  QueueOf(account, request.priority).push_back(std::move(request));
  return decision;
}

DequeueDecision Dequeue(FairQueue&& queue, TimePoint now) {
  DequeueDecision decision{std::move(queue), {}, {}};
  FairQueue& next = decision.queue;
  while (!next.active.empty()) {
    const auto [tag, index] = *next.active.begin();
    QueuedRequest request = PopFront(next, index);
    if (MaxWaitMs(request, next.parameters.deadline_use, now) < 0) {
      decision.refused.push_back(
          {std::move(request.request), ResultCode::kDeadlineTooShort});
      continue;
    }
    next.virtual_time = std::max(next.virtual_time, tag);
    AccountQueue& account = next.accounts[index];
    const bool active = !IsEmpty(account);
    if (active) {
      next.active.erase({account.start_tag, index});
    }
    account.start_tag = tag + request.cost / account.weight;
    if (active) {
      next.active.emplace(account.start_tag, index);
    }
    next.rate = RecordServed(next.rate, request.cost, now);
    decision.request = std::move(request);
    break;
  }
  if (next.size == 0) {
    next.rate = CloseWindow(next.rate, now);
  }
  return decision;
}

FairQueue Requeue(FairQueue&& queue, QueuedRequest request, TimePoint now) {
  const int index = FindOrAddAccount(queue, request.account);
  AccountQueue& account = queue.accounts[index];
  if (!IsEmpty(account)) {
    queue.active.erase({account.start_tag, index});
    queue.active_weight -= account.weight;
  }
  account.start_tag -= request.cost / account.weight;
  queue.rate = RecordServed(queue.rate, -request.cost, now);
  queue.active.emplace(account.start_tag, index);
  queue.active_weight += account.weight;
  OpenRateWindow(queue, now);
  CostOf(account, request.priority) += request.cost;
  queue.queued_cost += request.cost;
  ++queue.size;
  QueueOf(account, request.priority).push_front(std::move(request));
  return std::move(queue);
}

FairQueue Withdraw(FairQueue&& queue,
                   const AccountName& account,
                   const RequestId& request) {
  const auto found = queue.account_index.find(account);
  if (found == queue.account_index.end()) {
    return std::move(queue);
  }
  for (const Priority priority : {Priority::kHigh, Priority::kLow}) {
    std::deque<QueuedRequest>& requests =
        QueueOf(queue.accounts[found->second], priority);
    const auto position =
        std::ranges::find(requests, request, &QueuedRequest::request);
    if (position != requests.end()) {
      const QueuedRequest removed = std::move(*position);
      requests.erase(position);
      UpdateSumsAfterRemoval(queue, found->second, removed);
      break;
    }
  }
  return std::move(queue);
}

Duration ExpectedWait(const FairQueue& queue,
                      const AccountName& account,
                      Priority priority,
                      double cost,
                      TimePoint now) {
  const auto found = queue.account_index.find(account);
  const int index = found == queue.account_index.end() ? -1 : found->second;
  return Duration(static_cast<Duration::rep>(
      ExpectedWaitMs(queue, index, priority, cost, now) * 1000));
}

}  // namespace toucanhollow
