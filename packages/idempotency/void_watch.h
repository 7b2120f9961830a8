// The entry host's part in claims on idempotency keys: what it may report about
// a keyed dispatch that got no answer.
//
// Invariants:
// - V1 "Not run" is reported only if every entry was read from before the
//   dispatch was sent up to its void, and no unreleased claim of the dispatch
//   precedes the void. Every agent reads the same order, so that none can run
//   the dispatch.
// - V2 If the wait ends in any other way without an answer, the outcome is
//   unknown.
// - V3 A refusal code of a later attempt says nothing about an earlier attempt
//   (CombineOutcomes), and kDuplicateDispatch says nothing at all.
#ifndef IDEMPOTENCY_VOID_WATCH_H_
#define IDEMPOTENCY_VOID_WATCH_H_

#include <optional>

#include "base/log_entry.h"
#include "base/name.h"
#include "base/result_code.h"
#include "idempotency/claims_record.h"

namespace toucanhollow {

struct VoidWatch {
  ScopedKey key;
  DispatchId dispatch;
  // The next entry to read. Its first value is at most the end of the stream
  // before the dispatch was sent, plus 1.
  LogOffset next_offset = 1;
  bool claimed = false;
  bool released = false;
  bool voided = false;
  // Entries were dropped before they were read.
  bool has_gap = false;
  std::optional<ResultRecord> result;

  bool operator==(const VoidWatch&) const = default;
};

enum class DispatchOutcome {
  kUndecided,  // further entries must be read
  kNotRun,     // certainly not run; another dispatch may be sent
  kUnknown,    // claimed and perhaps run, or entries were missed
  kAnswered,   // run; `result` has the answer
};

// Starts a watch for a dispatch that was sent and may not be repeated. The
// caller appends VoidRecord{key, dispatch}, and again if that append fails or
// its answer is lost.
VoidWatch MakeVoidWatch(ScopedKey key,
                        DispatchId dispatch,
                        LogOffset next_offset);

// Applies the next entry of stream `claims`.
VoidWatch UpdateVoidWatch(VoidWatch watch, const ClaimsEntry& entry);

// The outcome of the dispatch as far as it is known. A decided outcome never
// changes, except that kUnknown may become kAnswered.
DispatchOutcome GetDispatchOutcome(const VoidWatch& watch);

// The code for the caller when the wait ends, at the deadline or with a decided
// outcome: kDispatchVoided, kAnswered or kOutcomeUnknown.
ResultCode GetOutcomeCode(const VoidWatch& watch);

// Combines the outcomes of two attempts with the same key. An answer takes
// precedence, since the key makes it the answer of both; then an unknown
// outcome; then the later refusal.
ResultCode CombineOutcomes(ResultCode earlier, ResultCode later);

}  // namespace toucanhollow

#endif  // IDEMPOTENCY_VOID_WATCH_H_
