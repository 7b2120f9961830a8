#include "standins/engine/map_state.h"

#include <algorithm>

namespace toucanhollow {
namespace {

std::string Stage(MapState& state,
                  const EngineOrder& order,
                  Duration staging_time,
                  TimePoint now) {
  if (order.change == state.change || order.change == state.activated_change) {
    return "";
  }
  if (!state.change.empty()) {
    return "another change is staged";
  }
  state.change = order.change;
  state.change_version = order.version;
  state.staged_at = now + staging_time;
  return "";
}

std::string Hold(MapState& state, const EngineOrder& order) {
  if (order.change != state.change) {
    return "the change is not staged";
  }
  if (state.step >= order.step) {
    return "the step has begun";
  }
  state.hold_step = order.step;
  return "";
}

std::string Activate(MapState& state, const EngineOrder& order, TimePoint now) {
  if (order.change == state.activated_change) {
    return "";
  }
  if (order.change != state.change || !IsStaged(state, now)) {
    return "the change is not staged";
  }
  if (state.step >= order.step) {
    return "the step has begun";
  }
  state.activate_step = order.step;
  state.hold_step = -1;
  return "";
}

std::string Continue(MapState& state, const EngineOrder& order) {
  if (order.change == state.activated_change || state.activate_step >= 0) {
    return "the change is activated";
  }
  if (order.change == state.change) {
    state.change.clear();
    state.hold_step = -1;
  }
  return "";
}

std::string LoadMap(MapState& state, const EngineOrder& order) {
  if (state.version >= 0) {
    return state.version == order.version ? "" : "another map is in use";
  }
  state.version = order.version;
  state.step = std::max(state.step, order.step);
  state.uses.push_back({state.step + 1, state.version});
  return "";
}

}  // namespace

bool IsStaged(const MapState& state, TimePoint now) {
  return !state.change.empty() && now >= state.staged_at;
}

std::string ApplyMapOrder(MapState& state,
                          const EngineOrder& order,
                          Duration staging_time,
                          TimePoint now) {
  if (state.checks_fence && order.fence < state.highest_fence) {
    return "the fencing token is old";
  }
  state.highest_fence = std::max(state.highest_fence, order.fence);
  switch (order.kind) {
    case EngineOrder::Kind::kStageMap:
      return Stage(state, order, staging_time, now);
    case EngineOrder::Kind::kHoldBefore:
      return Hold(state, order);
    case EngineOrder::Kind::kActivateAt:
      return Activate(state, order, now);
    case EngineOrder::Kind::kContinueOn:
      return Continue(state, order);
    case EngineOrder::Kind::kLoadMap:
      return LoadMap(state, order);
    case EngineOrder::Kind::kLoadModel:
      return "";
  }
  return "the order is unknown";
}

bool AdvanceStep(MapState& state, std::int64_t target) {
  std::int64_t next = std::max(state.step + 1, target);
  if (state.hold_step >= 0) {
    next = std::min(next, state.hold_step - 1);
  }
  if (state.version < 0 || next <= state.step) {
    return false;
  }
  if (state.activate_step >= 0 && next >= state.activate_step) {
    state.version = state.change_version;
    state.uses.push_back({state.activate_step, state.version});
    state.activated_change = state.change;
    state.change.clear();
    state.activate_step = -1;
  }
  state.step = next;
  return true;
}

}  // namespace toucanhollow
