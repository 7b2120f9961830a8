#include "idempotency/claim_fold.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace toucanhollow {
namespace {

// The floor after a gap. A dropped claim that was stamped at `dropped_until`
// may have a key that was issued kMaxKeyLead later.
WallTime FloorAfterGap(WallTime dropped_until) {
  return dropped_until + kMaxKeyLead;
}

bool IsTooFarAhead(const ScopedKey& key, WallTime entry_time) {
  return key.issued - entry_time > kMaxKeyLead;
}

ClaimOutcome ClassifyClaim(const ClaimFold& fold,
                           const KeyState* key_state,
                           const ClaimRecord& claim,
                           WallTime entry_time) {
  if (claim.key.issued < fold.floor ||
      entry_time - claim.key.issued > fold.key_memory) {
    return ClaimOutcome::kExpired;
  }
  if (IsTooFarAhead(claim.key, entry_time)) {
    return ClaimOutcome::kInFuture;
  }
  if (key_state == nullptr || !key_state->holder) {
    return ClaimOutcome::kWon;
  }
  if (key_state->holder->digest != claim.digest) {
    return ClaimOutcome::kConflict;
  }
  return key_state->result ? ClaimOutcome::kHasResult : ClaimOutcome::kHeld;
}

// Whether to store records of the key. A key that can never win is not stored,
// so that records of expired keys, and of keys issued too far ahead, use no
// memory.
bool IsStorable(const ClaimFold& fold, const ScopedKey& key, WallTime time) {
  return key.issued >= fold.floor && time - key.issued <= fold.key_memory &&
         !IsTooFarAhead(key, time);
}

struct RecordFolder {
  ClaimFold& fold;
  std::vector<SettledClaim>& settled;
  WallTime time;

  void operator()(const ClaimRecord& claim) {
    const auto found = this->fold.keys.find(claim.key);
    const KeyState* existing =
        found == this->fold.keys.end() ? nullptr : &found->second;
    if (existing != nullptr && existing->outcomes.contains(claim.dispatch)) {
      // A void or an early release has settled the dispatch before its claim
      // was read. The agent that claimed it still needs the outcome of a void.
      const ClaimOutcome outcome = existing->outcomes.at(claim.dispatch);
      if (outcome == ClaimOutcome::kVoided) {
        this->settled.push_back({claim, outcome});
      }
      return;
    }
    const ClaimOutcome outcome =
        ClassifyClaim(this->fold, existing, claim, this->time);
    this->settled.push_back({claim, outcome});
    if (outcome == ClaimOutcome::kExpired ||
        outcome == ClaimOutcome::kInFuture) {
      if (existing != nullptr) {
        found->second.outcomes.emplace(claim.dispatch, outcome);
      }
      return;
    }
    KeyState& state = this->fold.keys[claim.key];
    state.outcomes.emplace(claim.dispatch, outcome);
    if (outcome == ClaimOutcome::kWon) {
      state.holder = claim;
    }
  }

  void operator()(const VoidRecord& record) {
    if (IsStorable(this->fold, record.key, this->time)) {
      this->fold.keys[record.key].outcomes.emplace(record.dispatch,
                                                   ClaimOutcome::kVoided);
    }
  }

  void operator()(const ReleaseRecord& record) {
    if (!IsStorable(this->fold, record.key, this->time)) {
      const auto found = this->fold.keys.find(record.key);
      if (found == this->fold.keys.end()) {
        return;
      }
    }
    KeyState& state = this->fold.keys[record.key];
    const auto [outcome, first] =
        state.outcomes.emplace(record.dispatch, ClaimOutcome::kReleased);
    if (first || outcome->second != ClaimOutcome::kWon || !state.holder ||
        state.holder->dispatch != record.dispatch ||
        state.holder->agent != record.agent ||
        state.holder->incarnation != record.incarnation || state.result) {
      return;
    }
    outcome->second = ClaimOutcome::kReleased;
    state.holder.reset();
  }

  void operator()(const ResultRecord& record) {
    const auto found = this->fold.keys.find(record.key);
    if (found == this->fold.keys.end() || !found->second.holder ||
        found->second.holder->dispatch != record.dispatch ||
        found->second.result) {
      return;
    }
    found->second.result = record;
  }
};

ClaimFold RaiseFloor(ClaimFold fold, WallTime floor) {
  fold.floor = std::max(fold.floor, floor);
  while (!fold.keys.empty() && fold.keys.begin()->first.issued < fold.floor) {
    fold.keys.erase(fold.keys.begin());
  }
  return fold;
}

}  // namespace

ClaimFoldStep FoldClaim(ClaimFold fold, const ClaimsEntry& entry) {
  if (entry.offset < fold.next_offset) {
    return {std::move(fold), {}};
  }
  if (entry.offset > fold.next_offset) {
    fold = RaiseFloor(std::move(fold), FloorAfterGap(entry.time));
  }
  std::vector<SettledClaim> settled;
  RecordFolder folder{fold, settled, entry.time};
  for (const ClaimsRecord& record : entry.records) {
    std::visit(folder, record);
  }
  fold.next_offset = entry.offset + 1;
  fold.latest = std::max(fold.latest, entry.time);
  const WallTime expiry = fold.latest - fold.key_memory;
  fold = RaiseFloor(std::move(fold), expiry);
  return {std::move(fold), std::move(settled)};
}

ClaimFold ObserveClaimLogRetention(ClaimFold fold,
                                   LogOffset oldest,
                                   WallTime dropped_until) {
  if (oldest <= fold.next_offset) {
    return fold;
  }
  fold = RaiseFloor(std::move(fold), FloorAfterGap(dropped_until));
  fold.next_offset = oldest;
  return fold;
}

WallTime OldestSafeIssueTime(const ClaimFold& fold, WallTime now) {
  return std::max(fold.floor, now - fold.key_memory);
}

}  // namespace toucanhollow
