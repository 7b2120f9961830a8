#include "admission/admit.h"

#include <algorithm>
#include <utility>

#include "admission/limit.h"
#include "base/hash.h"

namespace toucanhollow {
namespace {

// A link delivers a dispatch well within this time, so no duplicate can arrive
// later.
constexpr Duration kSeenGenerationDuration = Seconds(300);

// Records a dispatch identifier. Returns false if it was recorded before.
bool InsertIfUnseen(SeenDispatches& seen,
                    const DispatchId& dispatch,
                    TimePoint now) {
  if (now - seen.generation_start >= kSeenGenerationDuration) {
    seen.previous = std::exchange(seen.current, {});
    seen.generation_start = now;
  }
  const std::uint64_t hash = HashText(dispatch.value);
  return !seen.previous.contains(hash) && seen.current.insert(hash).second;
}

// Returns the refusal code of the service state (kLeaving, kDataCentreOut or
// kNoEndpointAvailable), or kAnswered if the endpoint accepts work.
ResultCode GetServiceStateCode(const AdmissionState& state) {
  if (state.leaving) {
    return ResultCode::kLeaving;
  }
  if (state.data_centre_out_since) {
    return ResultCode::kDataCentreOut;
  }
  return state.endpoint_out ? ResultCode::kNoEndpointAvailable
                            : ResultCode::kAnswered;
}

// Returns the number of slots available to a sender: its grant and the free
// slots that are not granted.
int CountAvailableSlots(const AdmissionState& state,
                        const ProcessName& sender) {
  const auto own = state.grants.find(sender);
  const int own_grant = own == state.grants.end() ? 0 : own->second.count;
  return state.limit - CountSlotsInUse(state) - CountGrantedSlots(state) +
         own_grant;
}

AdmissionState OccupySlot(AdmissionState&& state,
                          const DispatchId& dispatch,
                          TimePoint now) {
  state.in_flight.emplace(dispatch, now);
  return UpdateInFlightMinimum(std::move(state), now);
}

// Expected wait of a dispatch that is queued behind those already waiting.
Duration EstimateWait(const AdmissionState& state) {
  const double ahead = static_cast<double>(state.waiting.size()) + 1;
  const double per_slot_ms = state.mean_service_ms / std::max(1, state.limit);
  return Duration(static_cast<Duration::rep>(ahead * per_slot_ms * 1000));
}

AdmissionDecision RefuseDispatch(AdmissionState&& state, ResultCode code) {
  return {std::move(state), AdmissionVerdict::kRefused, code};
}

}  // namespace

AdmissionDecision Admit(AdmissionState&& state,
                        const AdmissionRequest& request,
                        TimePoint now) {
  state = AdvanceTime(std::move(state), now);
  if (request.receiver != state.incarnation) {
    return RefuseDispatch(std::move(state), ResultCode::kStaleIncarnation);
  }
  if (!InsertIfUnseen(state.seen, request.dispatch, now)) {
    return RefuseDispatch(std::move(state), ResultCode::kDuplicateDispatch);
  }
  if (const ResultCode code = GetServiceStateCode(state);
      code != ResultCode::kAnswered) {
    return RefuseDispatch(std::move(state), code);
  }
  if (!IsReady(state, now)) {
    return RefuseDispatch(std::move(state), ResultCode::kNotReady);
  }
  if (request.remaining_deadline <= Duration(0)) {
    return RefuseDispatch(std::move(state), ResultCode::kDeadlineTooShort);
  }
  if (state.waiting.empty() && CountAvailableSlots(state, request.sender) > 0) {
    if (const auto own = state.grants.find(request.sender);
        own != state.grants.end() && --own->second.count == 0) {
      state.grants.erase(own);
    }
    return {OccupySlot(std::move(state), request.dispatch, now),
            AdmissionVerdict::kRun, ResultCode::kAnswered};
  }
  // A cold endpoint frees slots slowly and unpredictably, so dispatches are not
  // queued for it.
  const bool may_wait =
      std::ssize(state.waiting) <
          std::min(state.parameters.queue_limit, state.limit / 2) &&
      state.mean_service_ms > 0 && CountSlotsInUse(state) <= state.limit;
  if (!may_wait) {
    return RefuseDispatch(std::move(state), ResultCode::kEndpointFull);
  }
  if (EstimateWait(state) > request.remaining_deadline) {
    return RefuseDispatch(std::move(state), ResultCode::kDeadlineTooShort);
  }
  const TimePoint deadline = request.remaining_deadline == Duration::max()
                                 ? TimePoint::max()
                                 : now + request.remaining_deadline;
  state.waiting.push_back({request.dispatch, deadline});
  return {std::move(state), AdmissionVerdict::kWait, ResultCode::kAnswered};
}

WaitingDecision StartOrRefuseWaiting(AdmissionState&& state, TimePoint now) {
  WaitingDecision decision{AdvanceTime(std::move(state), now), {}, {}};
  const ResultCode service_code = GetServiceStateCode(decision.state);
  std::deque<WaitingDispatch> waiting =
      std::exchange(decision.state.waiting, {});
  for (WaitingDispatch& dispatch : waiting) {
    if (service_code != ResultCode::kAnswered) {
      decision.refused.push_back({std::move(dispatch.dispatch), service_code});
    } else if (dispatch.deadline <= now) {
      decision.refused.push_back(
          {std::move(dispatch.dispatch), ResultCode::kDeadlineTooShort});
    } else if (CountSlotsInUse(decision.state) +
                   CountGrantedSlots(decision.state) <
               decision.state.limit) {
      decision.state =
          OccupySlot(std::move(decision.state), dispatch.dispatch, now);
      decision.started.push_back(std::move(dispatch.dispatch));
    } else {
      decision.state.waiting.push_back(std::move(dispatch));
    }
  }
  return decision;
}

WithdrawDecision WithdrawWaiting(AdmissionState&& state,
                                 const DispatchId& dispatch) {
  const auto erased =
      std::erase_if(state.waiting, [&](const WaitingDispatch& waiting) {
        return waiting.dispatch == dispatch;
      });
  return {std::move(state), erased > 0};
}

}  // namespace toucanhollow
