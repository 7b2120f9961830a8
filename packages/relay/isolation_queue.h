// IsolationQueue: requests with suspect parts of prompts, which wait until the
// parts are cleared or until they may be sent in isolation.
#ifndef RELAY_ISOLATION_QUEUE_H_
#define RELAY_ISOLATION_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "quarantine/judge_request.h"
#include "relay/dispatch_request.h"

namespace toucanhollow {

// What the queue needs of the dispatcher.
struct IsolationCallbacks {
  std::function<PromptJudgement(const DispatchRequest& request)> judge;
  // Requests that have only some of the parts test these.
  std::function<bool(const std::vector<PartId>& parts)> are_tested_apart;
  // No server of the service can take a request now, whatever its parts.
  std::function<bool(const ServiceName& service)> is_halted;
  // The server that tests the part; null while it cannot.
  std::function<std::shared_ptr<ServerConnectionPool>(
      const ServiceName& service,
      PartId part)>
      find_canary;
  // Asks the server's agent to let the request pass, which tests the parts.
  std::function<void(const std::shared_ptr<ServerConnectionPool>& pool,
                     WaitingRequest request,
                     const std::vector<PartId>& parts)>
      ask;
  // Sends a request that need not be isolated.
  std::function<void(WaitingRequest request)> place;
  std::function<void(const WaitingRequest& request,
                     ResultCode code,
                     std::optional<Duration> retry_after)>
      refuse;
};

class IsolationQueue {
 public:
  explicit IsolationQueue(IsolationCallbacks callbacks);

  // `ask_from`: the agent is not asked before this time.
  void Add(WaitingRequest request, TimePoint ask_from, TimePoint now);
  // Returns false if the request is not in the queue.
  bool Withdraw(const RequestId& request);
  // Sends, refuses or keeps each request. To be called when a verdict changes
  // and periodically while requests wait.
  void Process(TimePoint now);
  // The parts are no longer tested by this host.
  void EndTest(const std::vector<PartId>& parts);

  std::size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    WaitingRequest request;
    TimePoint ask_from;
    // Since when the service can take requests.
    std::optional<TimePoint> open_since;
  };

  // Returns true if the request stays in the queue.
  bool ProcessEntry(Entry& entry, TimePoint now);
  bool IsTested(const std::vector<PartId>& parts) const;

  IsolationCallbacks callbacks;
  std::map<std::uint64_t, Entry> entries;  // in the order of arrival
  std::uint64_t next_entry = 0;
  // Parts that a request of this host tests.
  std::set<PartId> tested;
};

}  // namespace toucanhollow

#endif  // RELAY_ISOLATION_QUEUE_H_
