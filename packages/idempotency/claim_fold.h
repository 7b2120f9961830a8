// The state that results from reading stream `claims` in order (a fold). It
// decides, from the order of the log alone, which dispatch of a key may run.
//
// Invariants:
// - F1 The first record that names a dispatch settles its outcome. Only a won
//   claim can change, to released. A duplicate or late append of a claim that
//   lost, was voided or was released therefore never wins, and an agent's "not
//   run" for it stays true. A claim whose key was issued too far ahead is not
//   stored, to bound memory; if a late copy of it wins, the agent releases it.
// - F2 At any offset at most one dispatch holds a key. A claim wins only if no
//   other dispatch holds the key. A claim that lost does not win when the
//   holder releases the key; a new claim must follow the release.
// - F3 A key that was issued before the floor never has a winner in this fold.
//   The floor never decreases. It covers all keys that this fold has dropped
//   (expiry) or never read (log retention), so that a dropped key cannot run a
//   second time.
// - F4 Whether an entry expires a key, or finds it issued too far ahead, is
//   decided by the time stamp that the log gave the entry, which is the same in
//   every process.
// - F5 Only the claiming incarnation releases a claim. A new incarnation cannot
//   know what an earlier one ran.
#ifndef IDEMPOTENCY_CLAIM_FOLD_H_
#define IDEMPOTENCY_CLAIM_FOLD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/incarnation.h"
#include "base/log_entry.h"
#include "base/name.h"
#include "base/time.h"
#include "idempotency/claims_record.h"
#include "idempotency/idempotency_key.h"

namespace toucanhollow {

enum class ClaimOutcome {
  kWon,        // the dispatch holds the key
  kHeld,       // lost: another dispatch holds the key, no result is known
  kHasResult,  // lost: another dispatch has run and its result is known
  kConflict,   // lost: the key was used for another request
  kExpired,    // lost: the key was below the floor or too old at the entry
  kInFuture,   // lost: the key was issued too far ahead of the entry
  kVoided,     // a void precedes every claim of the dispatch in the log
  kReleased,   // the claiming incarnation will never run it
};

struct KeyState {
  // The winning claim, absent while no dispatch holds the key.
  std::optional<ClaimRecord> holder;
  std::optional<ResultRecord> result;
  std::map<DispatchId, ClaimOutcome> outcomes;

  bool operator==(const KeyState&) const = default;
};

struct ClaimFold {
  Duration key_memory = kKeyMemory;
  LogOffset next_offset = 1;
  // The highest time stamp that was read.
  WallTime latest;
  // Keys issued before this are refused and never run.
  WallTime floor;
  std::map<ScopedKey, KeyState> keys;

  bool operator==(const ClaimFold&) const = default;
};

// The outcome of a claim, reported when an entry settles it.
struct SettledClaim {
  ClaimRecord claim;
  ClaimOutcome outcome = ClaimOutcome::kHeld;

  bool operator==(const SettledClaim&) const = default;
};

struct ClaimFoldStep {
  ClaimFold fold;
  std::vector<SettledClaim> settled;
};

// Applies the next entry. Entries below `next_offset` are duplicates and change
// nothing. A higher offset means that the log dropped the entries in between.
ClaimFoldStep FoldClaim(ClaimFold fold, const ClaimsEntry& entry);

// Applies the log's retention: the log no longer holds the entries before
// `oldest`, all of them stamped at or before `dropped_until`. Raises the floor
// only if this fold had not read them.
ClaimFold ObserveClaimLogRetention(ClaimFold fold,
                                   LogOffset oldest,
                                   WallTime dropped_until);

// The oldest issue time at which a key is still accepted at `now`.
WallTime OldestSafeIssueTime(const ClaimFold& fold, WallTime now);

}  // namespace toucanhollow

#endif  // IDEMPOTENCY_CLAIM_FOLD_H_
