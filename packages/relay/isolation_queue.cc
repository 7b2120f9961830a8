#include "relay/isolation_queue.h"

#include <algorithm>
#include <utility>

namespace toucanhollow {
namespace {

constexpr std::size_t kMaxEntries = 1024;
// A request with several suspect parts waits this long for other requests to
// clear all but one, as a crash does not tell which of several parts caused it.
constexpr Duration kJointTestWait = Seconds(1);
// It waits for this fraction of its time at most: its parts may always come
// together, so that no other request clears them.
constexpr double kJointTestWaitFraction = 0.5;

}  // namespace

IsolationQueue::IsolationQueue(IsolationCallbacks callbacks)
    : callbacks(std::move(callbacks)) {}

void IsolationQueue::Add(WaitingRequest request,
                         TimePoint ask_from,
                         TimePoint now) {
  if (this->entries.size() >= kMaxEntries) {
    this->callbacks.refuse(request, ResultCode::kOverloaded, std::nullopt);
    return;
  }
  if (!request.joint_test_from) {
    const Duration time = request.dispatch_request.isolation_wait_until - now;
    request.joint_test_from = now + std::chrono::duration_cast<Duration>(
                                        time * kJointTestWaitFraction);
  }
  Entry entry{std::move(request), ask_from, std::nullopt};
  if (this->ProcessEntry(entry, now)) {
    this->entries.emplace(this->next_entry++, std::move(entry));
  }
}

bool IsolationQueue::Withdraw(const RequestId& request) {
  return std::erase_if(this->entries, [&request](const auto& entry) {
           return entry.second.request.dispatch_request.request == request;
         }) > 0;
}

void IsolationQueue::Process(TimePoint now) {
  std::vector<std::uint64_t> numbers;
  numbers.reserve(this->entries.size());
  for (const auto& [number, entry] : this->entries) {
    numbers.push_back(number);
  }
  for (const std::uint64_t number : numbers) {
    // A callback may have withdrawn it.
    auto node = this->entries.extract(number);
    if (!node.empty() && this->ProcessEntry(node.mapped(), now)) {
      this->entries.insert(std::move(node));
    }
  }
}

bool IsolationQueue::IsTested(const std::vector<PartId>& parts) const {
  return std::ranges::any_of(
      parts, [this](PartId part) { return this->tested.contains(part); });
}

bool IsolationQueue::ProcessEntry(Entry& entry, TimePoint now) {
  const DispatchRequest& request = entry.request.dispatch_request;
  const PromptJudgement judgement = this->callbacks.judge(request);
  if (judgement.verdict == PromptVerdict::kRefuse) {
    this->callbacks.refuse(entry.request, ResultCode::kPromptQuarantined,
                           judgement.retry_after);
    return false;
  }
  if (judgement.verdict == PromptVerdict::kPass) {
    this->callbacks.place(std::move(entry.request));
    return false;
  }
  const bool halted = this->callbacks.is_halted(request.service);
  if (halted && !request.urgent) {
    this->callbacks.refuse(entry.request, ResultCode::kNoEndpointAvailable,
                           std::nullopt);
    return false;
  }
  if (now >= request.isolation_wait_until) {
    this->callbacks.refuse(entry.request, ResultCode::kOverloaded,
                           std::nullopt);
    return false;
  }
  if (halted) {
    entry.open_since.reset();
    return true;
  }
  if (!entry.open_since) {
    entry.open_since = now;
  }
  const bool waits_for_others =
      judgement.suspects.size() > 1 &&
      ((now < *entry.request.joint_test_from &&
        now - *entry.open_since < kJointTestWait) ||
       this->callbacks.are_tested_apart(judgement.suspects));
  if (now < entry.ask_from || this->IsTested(judgement.suspects) ||
      waits_for_others) {
    return true;
  }
  const auto pool =
      this->callbacks.find_canary(request.service, judgement.suspects.front());
  if (pool == nullptr) {
    return true;
  }
  this->tested.insert(judgement.suspects.begin(), judgement.suspects.end());
  this->callbacks.ask(pool, std::move(entry.request), judgement.suspects);
  return false;
}

void IsolationQueue::EndTest(const std::vector<PartId>& parts) {
  for (const PartId part : parts) {
    this->tested.erase(part);
  }
}

}  // namespace toucanhollow
