// The types by which requests and the dispatcher talk.
#ifndef RELAY_DISPATCH_REQUEST_H_
#define RELAY_DISPATCH_REQUEST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/name.h"
#include "base/result_code.h"
#include "base/time.h"
#include "quarantine/crash_record.h"
#include "quarantine/prompt_part.h"
#include "relay/server_connection_pool.h"

namespace toucanhollow {

// The permission to send one isolated request.
struct IsolationGrant {
  std::vector<PartId> parts;  // that the request tests
  Address agent;              // that gave it
  std::uint32_t server = 0;   // hash of the server's id
  std::uint64_t serial = 0;   // of the call to the agent

  bool operator==(const IsolationGrant&) const = default;
};

// The server of a request.
struct Placement {
  std::shared_ptr<ServerConnectionPool> pool;
  // The request must be written by then, if a permit was needed.
  std::optional<BootTime> write_by = std::nullopt;
  // Set if the request is isolated. Dispatcher::EndIsolation is due when it is
  // known whether the server bore the request.
  std::optional<IsolationGrant> isolation = std::nullopt;
};

struct PlacementCallbacks {
  std::function<void(const Placement& placement)> on_placed;
  // Nothing was sent. `retry_after` is the time after which capacity is
  // expected to be free, or the quarantine ends.
  std::function<void(ResultCode code, Duration retry_after)> on_refused;
};

struct DispatchRequest {
  RequestId request;
  ServiceName service;
  AccountName account;
  double prompt_tokens = 0;
  // The parts of the prompt, as by IdentifyParts.
  std::vector<PartId> prompt_parts;
  double cost = 1;  // in the fair queue
  TimePoint wait_until;
  // Until when the request waits if it has to be isolated.
  TimePoint isolation_wait_until;
  TimePoint deadline;
  // The caller was refused before, or its stream has begun. Such requests have
  // the high priority and are queued even while the service is halted.
  bool urgent = false;
  // Servers that refused or failed this request; they are chosen only if no
  // other server can take it.
  std::set<std::string> tried_servers;
};

// A request that has no server yet.
struct WaitingRequest {
  DispatchRequest dispatch_request;
  PlacementCallbacks callbacks;
  // It has been at the head of the queue and was counted there as served.
  bool dequeued = false;
  // From when on several suspect parts are tested together; set once the
  // request has to be isolated.
  std::optional<TimePoint> joint_test_from = std::nullopt;
};

}  // namespace toucanhollow

#endif  // RELAY_DISPATCH_REQUEST_H_
