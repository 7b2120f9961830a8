// The endpoint agent's side of claims: a state machine that turns dispatches,
// log entries, append outcomes and time into actions.
//
// Invariants:
// - A1 A dispatch runs only while it waits in `pending`, at the moment its own
//   claim is settled as won in the fold, before its start_by. Each of these
//   happens once, so it runs at most once.
// - A2 Every "not run" takes the dispatch out of `pending` for good first. As
//   only this incarnation could run it, the statement is true whatever the log
//   holds or will hold, even if an append takes effect late.
// - A3 A claim of this incarnation that wins without a pending dispatch (its
//   append took effect after the dispatch was abandoned) is released. The
//   release is repeated until the log shows it. A later incarnation does not
//   release it and the key stays "outcome unknown", which is safe.
// - A4 Nothing is accepted before the log was read up to the end seen at start,
//   so that a new incarnation with the log down refuses as not run.
// - A5 A second copy of a dispatch gets no reply at all: the first copy may be
//   running, so that a refusal could be read as its outcome.
#ifndef IDEMPOTENCY_CLAIM_AGENT_H_
#define IDEMPOTENCY_CLAIM_AGENT_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/incarnation.h"
#include "base/log_entry.h"
#include "base/name.h"
#include "base/result_code.h"
#include "base/time.h"
#include "idempotency/claim_fold.h"
#include "idempotency/claims_record.h"
#include "idempotency/keyed_dispatch.h"

namespace toucanhollow {

// Records in one append; results make it at most about 140 KiB.
constexpr std::size_t kMaxClaimBatch = 64;
// Dispatches that wait for a claim; more are refused with kOverloaded.
constexpr std::size_t kMaxPendingDispatches = 1024;
// Wait after a failed or lost append, so that a log that is coming back is not
// met by every agent at the rate of the batches.
constexpr Duration kClaimRetryDelay = Milliseconds(250);

struct PendingDispatch {
  KeyedDispatch dispatch;
  bool running = false;

  bool operator==(const PendingDispatch&) const = default;
};

struct ClaimAgent {
  ProcessName name;
  Incarnation incarnation;
  Duration batch_interval;
  ClaimFold fold;
  bool log_replayed = false;
  std::map<DispatchId, PendingDispatch> pending;
  // Every dispatch that this incarnation has received, until its key expires.
  std::map<std::pair<WallTime, DispatchId>, bool> seen;
  std::vector<ClaimsRecord> queue;
  std::vector<ClaimsRecord> outstanding;
  TimePoint next_batch;
  // Counts for reports.
  std::size_t duplicates = 0;
  std::size_t late_claims_released = 0;

  bool operator==(const ClaimAgent&) const = default;
};

// Run the dispatch at the service. The task reports the end by RecordRunEnd.
struct RunDispatch {
  DispatchId dispatch;
  bool operator==(const RunDispatch&) const = default;
};
// Send the kept answer of an earlier run of the same request.
struct AnswerDispatch {
  DispatchId dispatch;
  ResultRecord result;
  bool operator==(const AnswerDispatch&) const = default;
};
// Send a refusal (1100-1199, certainly not run) or an unknown outcome
// (1200-1299).
struct RefuseDispatch {
  DispatchId dispatch;
  ResultCode code = ResultCode::kLogUnavailable;
  bool operator==(const RefuseDispatch&) const = default;
};
// Append to stream `claims` as one entry, then report by RecordAppend.
struct AppendClaims {
  std::vector<ClaimsRecord> records;
  bool operator==(const AppendClaims&) const = default;
};
using ClaimAction =
    std::variant<RunDispatch, AnswerDispatch, RefuseDispatch, AppendClaims>;

struct ClaimStep {
  ClaimAgent agent;
  std::vector<ClaimAction> actions;
};

enum class AppendOutcome {
  kAcknowledged,  // the entry stands in the log
  kFailed,        // certainly without effect
  kLost,          // it may have taken effect, or may still do so
};

enum class RunEnd {
  kAnswered,  // the service answered
  kNotRun,    // certainly not run: refused before it was sent
  kUnknown,   // sent, and no whole answer came
};

// A new incarnation with nothing read. `writers` as in ClaimBatchInterval.
ClaimAgent MakeClaimAgent(ProcessName name,
                          Incarnation incarnation,
                          int writers,
                          Duration key_memory = kKeyMemory);

// Codes in RefuseDispatch: kStaleIncarnation, kLogUnavailable, kOverloaded,
// kKeyInProgress, kDeadlineTooShort and those of DecideRun.
ClaimStep ReceiveDispatch(ClaimAgent agent,
                          const KeyedDispatch& dispatch,
                          WallTime wall_now,
                          TimePoint now);

// Feeds an entry of stream `claims`, in order of offset.
ClaimStep ReadClaims(ClaimAgent agent, const ClaimsEntry& entry, TimePoint now);

// Notes the end of the stream as a read after the start reported it: `end` is
// the offset of the last entry, 0 if there was none.
ClaimAgent ObserveClaimLogEnd(ClaimAgent agent, LogOffset end);

// The outcome of the append that is outstanding.
ClaimStep RecordAppend(ClaimAgent agent, AppendOutcome outcome, TimePoint now);

// The end of a run, with the service's answer if there is one.
ClaimStep RecordRunEnd(ClaimAgent agent,
                       const DispatchId& dispatch,
                       RunEnd end,
                       int http_status,
                       std::string body);

// The entry host no longer waits. A dispatch that has not begun is abandoned.
ClaimAgent CancelDispatch(ClaimAgent agent, const DispatchId& dispatch);

// Abandons dispatches whose start_by has passed and appends the next batch.
// To be called at NextClaimWorkTime and after every other event.
ClaimStep AdvanceClaims(ClaimAgent agent, TimePoint now);

// When AdvanceClaims next has work; none while there is nothing to wait for.
std::optional<TimePoint> NextClaimWorkTime(const ClaimAgent& agent);

}  // namespace toucanhollow

#endif  // IDEMPOTENCY_CLAIM_AGENT_H_
