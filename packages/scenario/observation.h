// What can be seen from outside the system: what callers asked and were told,
// what services and engines ran, which map each rank used, and which records
// each process had in force. The checker of the invariants knows only this.
#ifndef SCENARIO_OBSERVATION_H_
#define SCENARIO_OBSERVATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/result_code.h"
#include "base/time.h"
#include "scenario/fault.h"
#include "scenario/scenario.h"

namespace toucanhollow {

struct CallerAsked {
  TimePoint time{};
  std::string request = {};
  RequestKind kind = RequestKind::kIdempotentRead;
  std::string key = {};
  std::string service = {};
  std::string entry_host = {};
};

struct CallerTold {
  TimePoint time{};
  std::string request = {};
  CallerOutcome outcome = CallerOutcome::kPending;
  ResultCode code = ResultCode::kAnswered;
  std::string answer = {};
  // The entry host ended with the request open.
  bool connection_broke = false;
};

// One start of a request at a service or an engine.
struct Run {
  TimePoint started{};
  // Equal to `started` while the run goes on.
  TimePoint ended{};
  std::string endpoint = {};
  std::string data_centre = {};
  std::string service = {};
  std::string request = {};
  std::string key = {};
  bool whole = false;
  // Stopped because its caller or its agent asked for it.
  bool cancelled = false;
};

// One rank starts one step.
struct RankStep {
  TimePoint time{};
  std::string group = {};
  int rank = 0;
  std::int64_t step = 0;
  std::int64_t map_version = 0;
};

// The record in force in a process changed; all are lost with the process.
struct RecordSeen {
  TimePoint time{};
  std::string process = {};
  std::uint64_t incarnation = 0;
  std::string subject = {};
  std::int64_t revision = 0;
  std::string content = {};
};

// A record as it stands in the log.
struct LoggedRecord {
  TimePoint time{};
  std::string subject = {};
  std::string change_id = {};
  std::int64_t revision = 0;
  std::int64_t expected_revision = 0;
  bool out = false;
};

// An operator was told that the record was accepted or refused.
struct OperatorTold {
  TimePoint time{};
  std::string subject = {};
  std::string change_id = {};
  std::int64_t revision = 0;
  bool accepted = false;
};

enum class NodeFact {
  kEngineStarted,
  kEngineTurnedCold,
  kProcessStarted,
  kProcessDied,
  kShutdownStarted,
  kLeavingStarted,
  kExited,
};

struct NodeEvent {
  TimePoint time{};
  NodeFact fact = NodeFact::kProcessStarted;
  std::string node = {};
};

struct FaultSeen {
  TimePoint time{};
  Fault fault = {};
};

struct Observations {
  std::vector<CallerAsked> asked;
  std::vector<CallerTold> told;
  std::vector<Run> runs;
  std::vector<RankStep> steps;
  std::vector<RecordSeen> records;
  std::vector<LoggedRecord> logged;
  std::vector<OperatorTold> operators;
  std::vector<NodeEvent> nodes;
  std::vector<FaultSeen> faults;
  // End of the run.
  TimePoint end{};
  // Lines with the time of each event, kept only when tracing.
  std::vector<std::string> trace;
};

}  // namespace toucanhollow

#endif  // SCENARIO_OBSERVATION_H_
