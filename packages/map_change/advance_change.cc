#include "map_change/advance_change.h"

#include <algorithm>
#include <set>
#include <utility>

namespace toucanhollow {
namespace {

ChangeState EnterPhase(ChangeState state, ChangePhase phase, TimePoint now) {
  state.phase = phase;
  state.phase_started_at = now;
  return state;
}

RankOrder MakeOrder(RankOrderKind kind,
                    const RankReport& rank,
                    GroupMapVersion version,
                    StepNumber step) {
  return {kind, rank.server, rank.epoch, rank.sequence, version, step};
}

StepNumber MaxStep(const GroupReading& reading) {
  return std::ranges::max(reading, {}, &RankReport::step).step;
}

// The version that all ranks are armed with, or none.
std::optional<GroupMapVersion> FindCommonArmedVersion(
    const GroupReading& reading) {
  const std::optional<GroupMapVersion> first = reading.front().armed;
  const bool common = std::ranges::all_of(
      reading, [&](const RankReport& rank) { return rank.armed == first; });
  return common ? first : std::nullopt;
}

bool HasHeldOrArmedRank(const GroupReading& reading) {
  return std::ranges::any_of(reading, [](const RankReport& rank) {
    return rank.held.has_value() || rank.armed.has_value();
  });
}

std::vector<RankOrder> MakeReleaseOrders(const GroupReading& reading) {
  std::vector<RankOrder> orders;
  for (const RankReport& rank : reading) {
    if (rank.held) {
      orders.push_back(MakeOrder(RankOrderKind::kRelease, rank, 0, *rank.held));
    }
  }
  return orders;
}

bool IsPreparedEverywhere(const GroupReading& reading,
                          GroupMapVersion version) {
  return std::ranges::all_of(reading, [version](const RankReport& rank) {
    return rank.armed || rank.prepared == version;
  });
}

std::vector<RankOrder> MakePrepareOrders(const GroupReading& reading,
                                         GroupMapVersion version) {
  std::vector<RankOrder> orders;
  for (const RankReport& rank : reading) {
    if (!rank.armed && rank.prepared != version && !rank.busy) {
      orders.push_back(MakeOrder(RankOrderKind::kPrepare, rank, version, 0));
    }
  }
  return orders;
}

ChangeDecision StartResolving(const ChangeState& state,
                              const ChangeInput& input,
                              TimePoint now,
                              std::string note) {
  ChangeState next = EnterPhase(state, ChangePhase::kResolving, now);
  next.version = input.free_version;
  next.map.clear();
  return {std::move(next), {}, std::move(note)};
}

ChangeDecision AdvanceResolving(const ChangeState& state,
                                const ChangeInput& input) {
  const GroupReading& reading = input.reading;
  if (!HasHeldOrArmedRank(reading)) {
    return {ChangeState{}, {}, "resolved"};
  }
  if (FindCommonArmedVersion(reading)) {
    // Once the hold is released, the armed ranks switch when the pass begins.
    return {state, MakeReleaseOrders(reading), ""};
  }
  if (HighestVersion(reading) > state.version &&
      input.free_version > HighestVersion(reading)) {
    // Ranks refuse versions below any that they have prepared before.
    ChangeState next = state;
    next.version = input.free_version;
    return {std::move(next), {}, "moved to a higher version"};
  }
  if (!IsPreparedEverywhere(reading, state.version)) {
    if (!IsInUse(input.current_map, reading)) {
      return {state, {}, ""};
    }
    ChangeState next = state;
    next.map = input.current_map.map;
    return {std::move(next), MakePrepareOrders(reading, state.version), ""};
  }
  // A rank that has prepared this newer version can never be armed with the
  // older one, so no coordinator can see all ranks armed any more. Without such
  // a rank, the reading mixes reports from different moments.
  const bool blocked =
      std::ranges::any_of(reading, [&](const RankReport& rank) {
        return !rank.armed && rank.prepared == state.version;
      });
  if (!blocked || HighestVersion(reading) > state.version) {
    return {state, {}, ""};
  }
  std::vector<RankOrder> orders;
  for (const RankReport& rank : reading) {
    if (rank.armed) {
      orders.push_back(MakeOrder(RankOrderKind::kDisarm, rank, *rank.armed, 0));
    }
  }
  if (orders.empty()) {
    orders = MakeReleaseOrders(reading);
  }
  return {state, std::move(orders), ""};
}

ChangeDecision AdvancePreparing(const ChangeState& state,
                                const ChangeInput& input,
                                TimePoint now) {
  if (HasHeldOrArmedRank(input.reading)) {
    return StartResolving(state, input, now, "another round is in progress");
  }
  if (HighestVersion(input.reading) > state.version) {
    return {ChangeState{}, {}, "a later round has started"};
  }
  const bool replaced =
      std::ranges::any_of(input.reading, [&state](const RankReport& rank) {
        return rank.map != state.base_version;
      });
  if (replaced) {
    return {ChangeState{}, {}, "the map in use has changed"};
  }
  if (!IsPreparedEverywhere(input.reading, state.version)) {
    if (now - state.phase_started_at > kPrepareTimeout) {
      return {ChangeState{}, {}, "preparation timed out"};
    }
    return {state, MakePrepareOrders(input.reading, state.version), ""};
  }
  const RankReport& holder = input.reading.front();
  ChangeState next = EnterPhase(state, ChangePhase::kHolding, now);
  next.hold_server = holder.server;
  next.hold_step = MaxStep(input.reading) + input.hold_lead;
  return {next,
          {MakeOrder(RankOrderKind::kHold, holder, 0, next.hold_step)},
          "prepared"};
}

ChangeDecision AdvanceHolding(const ChangeState& state,
                              const ChangeInput& input,
                              TimePoint now) {
  const GroupReading& reading = input.reading;
  for (const RankReport& rank : reading) {
    const bool is_own_hold = rank.server == state.hold_server &&
                             rank.held == std::optional(state.hold_step);
    if (rank.armed || (rank.held && !is_own_hold)) {
      return StartResolving(state, input, now, "another round is in progress");
    }
    if (rank.prepared != state.version) {
      return StartResolving(state, input, now,
                            "a rank no longer has the prepared map");
    }
  }
  const auto holder =
      std::ranges::find(reading, state.hold_server, &RankReport::server);
  if (holder == reading.end()) {
    return {
        ChangeState{}, {}, "the rank that holds the pass has left the group"};
  }
  if (!holder->held) {
    // The pass may have begun before the order arrived.
    ChangeState next = state;
    if (MaxStep(reading) + 1 >= state.hold_step) {
      next.hold_step = MaxStep(reading) + input.hold_lead;
    }
    return {next,
            {MakeOrder(RankOrderKind::kHold, *holder, 0, next.hold_step)},
            ""};
  }
  ChangeState next = EnterPhase(state, ChangePhase::kArming, now);
  next.unarmed_ranks = reading.size();
  next.unarmed_since = now;
  std::vector<RankOrder> orders;
  for (const RankReport& rank : reading) {
    orders.push_back(
        MakeOrder(RankOrderKind::kArm, rank, state.version, state.hold_step));
  }
  return {next, std::move(orders), "held"};
}

ChangeDecision AdvanceArming(const ChangeState& state,
                             const ChangeInput& input,
                             TimePoint now) {
  std::vector<RankOrder> orders;
  bool held = false;
  for (const RankReport& rank : input.reading) {
    held = held || rank.held == std::optional(state.hold_step);
    if (rank.armed == std::optional(state.version)) {
      continue;
    }
    if (rank.armed || rank.prepared != state.version) {
      return StartResolving(state, input, now,
                            "a rank has a map of another round");
    }
    orders.push_back(
        MakeOrder(RankOrderKind::kArm, rank, state.version, state.hold_step));
  }
  if (!held) {
    return StartResolving(state, input, now, "no rank holds the pass any more");
  }
  if (!orders.empty()) {
    ChangeState next = state;
    if (orders.size() < state.unarmed_ranks) {
      next.unarmed_ranks = orders.size();
      next.unarmed_since = now;
    }
    if (now - next.unarmed_since > kMaxArmingPause) {
      return StartResolving(state, input, now, "arming timed out");
    }
    return {std::move(next), std::move(orders), ""};
  }
  return {EnterPhase(state, ChangePhase::kReleasing, now),
          MakeReleaseOrders(input.reading), "armed"};
}

ChangeDecision AdvanceReleasing(const ChangeState& state,
                                const ChangeInput& input) {
  const bool switched =
      std::ranges::all_of(input.reading, [&](const RankReport& rank) {
        return rank.map == state.version && !rank.armed;
      });
  if (switched) {
    return {ChangeState{}, {}, "switched"};
  }
  if (HighestVersion(input.reading) > state.version) {
    // A hold that is reported now may belong to a later round.
    return {ChangeState{}, {}, "a later round has started"};
  }
  if (FindCommonArmedVersion(input.reading) == std::optional(state.version)) {
    return {state, MakeReleaseOrders(input.reading), ""};
  }
  return {state, {}, ""};
}

}  // namespace

GroupMapVersion HighestVersion(const GroupReading& reading) {
  GroupMapVersion highest = 0;
  for (const RankReport& rank : reading) {
    highest = std::max(
        {highest, rank.map, rank.prepared.value_or(0), rank.armed.value_or(0)});
  }
  return highest;
}

bool IsInUse(const MapInUse& map, const GroupReading& reading) {
  return std::ranges::all_of(reading, [&map](const RankReport& rank) {
    return rank.epoch == map.epoch && rank.map == map.version;
  });
}

bool IsCompleteReading(const GroupReading& reading) {
  if (reading.empty()) {
    return false;
  }
  const RankReport& first = reading.front();
  std::set<int> ranks;
  for (const RankReport& rank : reading) {
    if (rank.group != first.group || rank.epoch != first.epoch ||
        rank.size != first.size || !rank.open) {
      return false;
    }
    ranks.insert(rank.rank);
  }
  return static_cast<int>(ranks.size()) == first.size &&
         reading.size() == ranks.size();
}

ChangeDecision AdvanceChange(const ChangeState& state,
                             const ChangeInput& input,
                             TimePoint now) {
  if (!IsCompleteReading(input.reading)) {
    // Orders already sent remain in force; an incomplete reading justifies no
    // new ones.
    return {state, {}, ""};
  }
  const RankReport& first = input.reading.front();
  if (state.phase != ChangePhase::kIdle &&
      (first.epoch != state.epoch || first.group != state.group)) {
    return {ChangeState{}, {}, "the group was re-formed"};
  }
  switch (state.phase) {
    case ChangePhase::kIdle: {
      ChangeState next = state;
      next.group = first.group;
      next.epoch = first.epoch;
      if (HasHeldOrArmedRank(input.reading)) {
        return StartResolving(next, input, now, "found an unfinished round");
      }
      if (!input.target_map ||
          input.free_version <= HighestVersion(input.reading)) {
        return {ChangeState{}, {}, ""};
      }
      next = EnterPhase(std::move(next), ChangePhase::kPreparing, now);
      next.version = input.free_version;
      next.map = *input.target_map;
      next.base_version = first.map;
      return {next, MakePrepareOrders(input.reading, next.version), "began"};
    }
    case ChangePhase::kPreparing:
      return AdvancePreparing(state, input, now);
    case ChangePhase::kHolding:
      return AdvanceHolding(state, input, now);
    case ChangePhase::kArming:
      return AdvanceArming(state, input, now);
    case ChangePhase::kReleasing:
      return AdvanceReleasing(state, input);
    case ChangePhase::kResolving:
      return AdvanceResolving(state, input);
  }
  return {state, {}, ""};
}

}  // namespace toucanhollow
