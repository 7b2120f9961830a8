#include "idempotency/void_watch.h"

#include <utility>
#include <variant>

namespace toucanhollow {
namespace {

struct RecordReader {
  VoidWatch& watch;
  WallTime time;

  void operator()(const ClaimRecord& claim) const {
    // A claim after the void cannot win. A claim that lost is counted too,
    // which can only turn "not run" into "unknown".
    if (claim.dispatch == this->watch.dispatch && !this->watch.voided) {
      this->watch.claimed = true;
    }
  }

  void operator()(const VoidRecord& record) const {
    // The agents' fold ignores a void whose key was issued too far ahead.
    if (record.dispatch == this->watch.dispatch &&
        record.key.issued - this->time <= kMaxKeyLead) {
      this->watch.voided = true;
    }
  }

  void operator()(const ReleaseRecord& release) const {
    if (release.dispatch == this->watch.dispatch) {
      this->watch.released = true;
    }
  }

  void operator()(const ResultRecord& result) const {
    if (result.dispatch == this->watch.dispatch && !this->watch.result) {
      this->watch.result = result;
    }
  }
};

}  // namespace

VoidWatch MakeVoidWatch(ScopedKey key,
                        DispatchId dispatch,
                        LogOffset next_offset) {
  VoidWatch watch;
  watch.key = std::move(key);
  watch.dispatch = std::move(dispatch);
  watch.next_offset = next_offset;
  return watch;
}

VoidWatch UpdateVoidWatch(VoidWatch watch, const ClaimsEntry& entry) {
  if (entry.offset < watch.next_offset) {
    return watch;
  }
  // A claim in a gap after the void cannot win.
  if (entry.offset > watch.next_offset && !watch.voided) {
    watch.has_gap = true;
  }
  const RecordReader reader{watch, entry.time};
  for (const ClaimsRecord& record : entry.records) {
    std::visit(reader, record);
  }
  watch.next_offset = entry.offset + 1;
  return watch;
}

DispatchOutcome GetDispatchOutcome(const VoidWatch& watch) {
  if (watch.result && watch.result->whole) {
    return DispatchOutcome::kAnswered;
  }
  if (watch.released) {
    return DispatchOutcome::kNotRun;
  }
  if (watch.claimed || watch.has_gap) {
    return DispatchOutcome::kUnknown;
  }
  return watch.voided ? DispatchOutcome::kNotRun : DispatchOutcome::kUndecided;
}

ResultCode GetOutcomeCode(const VoidWatch& watch) {
  switch (GetDispatchOutcome(watch)) {
    case DispatchOutcome::kNotRun:
      return ResultCode::kDispatchVoided;
    case DispatchOutcome::kAnswered:
      return ResultCode::kAnswered;
    case DispatchOutcome::kUndecided:
    case DispatchOutcome::kUnknown:
      break;
  }
  return ResultCode::kOutcomeUnknown;
}

ResultCode CombineOutcomes(ResultCode earlier, ResultCode later) {
  if (earlier == ResultCode::kAnswered || later == ResultCode::kAnswered) {
    return ResultCode::kAnswered;
  }
  return IsCertainlyNotRun(earlier) ? later : earlier;
}

}  // namespace toucanhollow
