// The endpoint agent's part in claims on idempotency keys: a state machine that
// turns dispatches, log entries, append outcomes and time into actions.
//
// Invariants:
// - A1 A dispatch runs only while it waits in `pending`, at the moment the fold
//   settles its own claim as won, before its start_by. Each of these happens
//   once, so it runs at most once.
// - A2 Before a dispatch is reported as "not run", it is removed from `pending`
//   permanently. Only this incarnation could run it, so the report is true
//   whatever the log holds or will hold, even if an append takes effect late.
// - A3 A claim of this incarnation that wins without a pending dispatch (its
//   append took effect after the dispatch was abandoned) is released. The
//   release is repeated until the log shows it. A later incarnation does not
//   release it and the key stays "outcome unknown", which is safe.
// - A4 No dispatch is accepted before the log has been read up to the end that
//   was seen at the start. A new incarnation that cannot read the log refuses
//   its dispatches as not run.
// - A5 A second copy of a dispatch gets no reply: the first copy may be
//   running, and a refusal would be taken for its outcome.
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

// Maximum number of records in one append. With stored results, an append is at
// most about 140 KiB.
constexpr std::size_t kMaxClaimBatch = 64;
// Maximum number of dispatches that wait for a claim; further ones are refused
// with kOverloaded.
constexpr std::size_t kMaxPendingDispatches = 1024;
// Delay after a failed or lost append, so that a recovering log does not get
// appends from every agent at the batch rate.
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
  // The log has been read up to the end that was seen at the start (A4).
  bool log_replayed = false;
  std::map<DispatchId, PendingDispatch> pending;
  // Every dispatch that this incarnation has received, until its key expires.
  std::map<std::pair<WallTime, DispatchId>, bool> seen;
  // Records to append, and the records of the append in progress.
  std::vector<ClaimsRecord> queue;
  std::vector<ClaimsRecord> outstanding;
  // The earliest time of the next append.
  TimePoint next_batch;
  // Counters for reports.
  std::size_t duplicates = 0;
  std::size_t late_claims_released = 0;

  bool operator==(const ClaimAgent&) const = default;
};

// Run the dispatch at the service, then report how it ended with RecordRunEnd.
struct RunDispatch {
  DispatchId dispatch;
  bool operator==(const RunDispatch&) const = default;
};
// Send the stored answer of an earlier run of the same request.
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
// Append the records to stream `claims` as one entry, then report the outcome
// with RecordAppend.
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
  kAcknowledged,  // the entry is in the log
  kFailed,        // certainly without effect
  kLost,          // no answer; it may have taken effect, or may still do so
};

enum class RunEnd {
  kAnswered,  // the service answered
  kNotRun,    // certainly not run: refused before it was sent
  kUnknown,   // sent, and no complete answer received
};

// Returns the state of a new incarnation that has read nothing of the log.
// `writers` is as in ClaimBatchInterval.
ClaimAgent MakeClaimAgent(ProcessName name,
                          Incarnation incarnation,
                          int writers,
                          Duration key_memory = kKeyMemory);

// Answers or refuses the dispatch, or queues a claim for it. A second copy gets
// no action (A5). Codes in RefuseDispatch: kStaleIncarnation, kLogUnavailable,
// kOverloaded, kKeyInProgress, kDeadlineTooShort and those of DecideRun.
ClaimStep ReceiveDispatch(ClaimAgent agent,
                          const KeyedDispatch& dispatch,
                          WallTime wall_now,
                          TimePoint now);

// Applies the next entry of stream `claims`, in order of offset. Codes in
// RefuseDispatch: kDeadlineTooShort, kKeyConflict, kKeyExpired, kKeyInFuture,
// kKeyOutcomeUnknown, kAnswerTruncated, kDispatchVoided.
ClaimStep ReadClaims(ClaimAgent agent, const ClaimsEntry& entry, TimePoint now);

// Applies the end of the stream as reported by a read after the start. `end` is
// the offset of the last entry, 0 if there was none.
ClaimAgent ObserveClaimLogEnd(ClaimAgent agent, LogOffset end);

// Applies the outcome of the append in progress. Code in RefuseDispatch:
// kLogUnavailable.
ClaimStep RecordAppend(ClaimAgent agent, AppendOutcome outcome, TimePoint now);

// Applies the end of a run, with the service's answer if there is one.
ClaimStep RecordRunEnd(ClaimAgent agent,
                       const DispatchId& dispatch,
                       RunEnd end,
                       int http_status,
                       std::string body);

// Abandons the dispatch if it is not running yet, because the entry host no
// longer waits for it.
ClaimAgent CancelDispatch(ClaimAgent agent, const DispatchId& dispatch);

// Refuses dispatches whose start_by has passed, with kLogUnavailable, and
// appends the next batch. To be called at NextClaimWorkTime and after every
// other event.
ClaimStep AdvanceClaims(ClaimAgent agent, TimePoint now);

// The time at which AdvanceClaims next has work; none if nothing is waiting.
std::optional<TimePoint> NextClaimWorkTime(const ClaimAgent& agent);

}  // namespace toucanhollow

#endif  // IDEMPOTENCY_CLAIM_AGENT_H_
