// The entry host's side: what it may state about a keyed dispatch that got no
// answer.
//
// Invariants:
// - V1 "Not run" is stated only if every entry from before the dispatch was
//   sent up to the void was read, and no unreleased claim of the dispatch
//   stands before the void. Every agent folds the same order, so that none can
//   run the dispatch.
// - V2 Anything else that ends the wait is "outcome unknown".
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
  // The next entry to read. At the start: an offset no later than the end of
  // the stream before the dispatch was sent, plus 1.
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
  kUndecided,  // read on
  kNotRun,     // certainly not run; another dispatch may be sent
  kUnknown,    // claimed and perhaps run
  kAnswered,   // run; `result` has the answer
};

// A watch for a dispatch that was sent and may not be repeated. Append
// VoidRecord{key, dispatch}; append it again if the answer is lost or failed.
VoidWatch MakeVoidWatch(ScopedKey key,
                        DispatchId dispatch,
                        LogOffset next_offset);

// Folds the next entry of stream `claims`.
VoidWatch UpdateVoidWatch(VoidWatch watch, const ClaimsEntry& entry);

// What the watch has settled. Settled outcomes never change, except that
// kUnknown may become kAnswered.
DispatchOutcome GetDispatchOutcome(const VoidWatch& watch);

// The code for the caller when the wait ends, by the deadline or by an outcome:
// kDispatchVoided, kAnswered or kOutcomeUnknown.
ResultCode GetOutcomeCode(const VoidWatch& watch);

// Joins the outcomes of two attempts with the same key. An answer wins, since
// the key makes it the answer of both; then an unknown outcome; then the later
// refusal.
ResultCode CombineOutcomes(ResultCode earlier, ResultCode later);

}  // namespace toucanhollow

#endif  // IDEMPOTENCY_VOID_WATCH_H_
