// A scripted scenario as values: the set-up, then actions, faults and
// expectations with the moment of each.
#ifndef SCENARIO_SCENARIO_H_
#define SCENARIO_SCENARIO_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "scenario/fault.h"

namespace toucanhollow {

enum class NodeKind { kEntryHost, kServiceEndpoint, kEngine };

struct NodeSetup {
  NodeKind kind = NodeKind::kEntryHost;
  std::string name = {};
  std::string data_centre = {};
  // Plain service or model group; empty for an entry host.
  std::string service = {};
  // Place in a group that advances in lock-step; -1 for an engine of its own.
  int rank = -1;
  bool warm = true;
  // False for an engine that obeys orders with an old fencing token.
  bool fencing = true;

  bool operator==(const NodeSetup&) const = default;
};

enum class RequestKind {
  kStreamedDraft,
  kIdempotentRead,
  kKeyedCall,
  kUnkeyedCall,
};

enum class ActionKind {
  kRequest,
  kTakeOut,
  kBringBack,
  kRestartEngine,
  kChangeMap,
  kShutDown,
  kListAsLeaving,
  kStart,
  kFault,
  kExpectOutcome,
  kExpectRuns,
  kExpectNoNewWork,
  kExpectMapVersion,
  kExpectRecord,
  kExpectLoad,
  kExpectExited,
};

enum class CallerOutcome { kPending, kAnswered, kRefused, kUnknown };

struct Action {
  ActionKind kind = ActionKind::kRequest;
  // Request, node, data centre or group that the action is about.
  std::string subject = {};
  // Service that a request is for.
  std::string service = {};
  // Entry host that receives a request.
  std::string entry_host = {};
  std::string key = {};
  RequestKind request_kind = RequestKind::kIdempotentRead;
  Fault fault = {};
  // Any of these outcomes meets the expectation.
  std::vector<CallerOutcome> outcomes = {};
  // Runs, map version or concurrent requests that an expectation names.
  std::int64_t count = 0;
  // The count is an upper bound.
  bool at_most = false;
  // State of a data centre's record that an expectation names.
  bool out = false;

  bool operator==(const Action&) const = default;
};

struct Step {
  // Time from the start, or from the moment named by `when`.
  Duration at{};
  // Name of a step of a procedure (scenario/moment.h); empty for a fixed time.
  std::string when = {};
  // Process at which that step is awaited; empty for any.
  std::string when_at = {};
  Action action = {};
  int line = 0;

  bool operator==(const Step&) const = default;
};

struct Scenario {
  std::string title = {};
  std::uint64_t seed = 1;
  std::vector<std::string> data_centres = {};
  // Those of them whose first record says that they are out.
  std::vector<std::string> data_centres_out = {};
  // Age at which the log drops entries; zero keeps everything.
  Duration log_retention{};
  std::vector<NodeSetup> nodes = {};
  std::vector<Step> steps = {};

  bool operator==(const Scenario&) const = default;
};

}  // namespace toucanhollow

#endif  // SCENARIO_SCENARIO_H_
