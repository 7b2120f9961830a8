#include "map_change/advance_change.h"

#include <algorithm>
#include <set>
#include <utility>

namespace toucanhollow {
namespace {

ChangeState Enter(ChangeState state, ChangePhase phase, TimePoint now) {
  state.phase = phase;
  state.phase_began = now;
  return state;
}

RankOrder MakeOrder(RankOrderKind kind,
                    const RankReport& rank,
                    GroupMapVersion version,
                    StepNumber step) {
  return {kind, rank.server, rank.epoch, rank.sequence, version, step};
}

StepNumber LastStep(const GroupReading& reading) {
  return std::ranges::max(reading, {}, &RankReport::step).step;
}

// The version that all ranks are armed with, if there is one.
std::optional<GroupMapVersion> CommonArmed(const GroupReading& reading) {
  const std::optional<GroupMapVersion> first = reading.front().armed;
  const bool common = std::ranges::all_of(
      reading, [&](const RankReport& rank) { return rank.armed == first; });
  return common ? first : std::nullopt;
}

bool AnyHeldOrArmed(const GroupReading& reading) {
  return std::ranges::any_of(reading, [](const RankReport& rank) {
    return rank.held.has_value() || rank.armed.has_value();
  });
}

std::vector<RankOrder> ReleaseAll(const GroupReading& reading) {
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

std::vector<RankOrder> PrepareMissing(const GroupReading& reading,
                                      GroupMapVersion version) {
  std::vector<RankOrder> orders;
  for (const RankReport& rank : reading) {
    if (!rank.armed && rank.prepared != version && !rank.busy) {
      orders.push_back(MakeOrder(RankOrderKind::kPrepare, rank, version, 0));
    }
  }
  return orders;
}

ChangeDecision BeginResolving(const ChangeState& state,
                              const ChangeInput& input,
                              TimePoint now,
                              std::string note) {
  ChangeState next = Enter(state, ChangePhase::kResolving, now);
  next.version = input.free_version;
  next.map = input.present;
  return {std::move(next), {}, std::move(note)};
}

ChangeDecision Resolve(const ChangeState& state, const ChangeInput& input) {
  const GroupReading& reading = input.reading;
  if (!AnyHeldOrArmed(reading)) {
    return {ChangeState{}, {}, "resolved"};
  }
  if (CommonArmed(reading)) {
    // Without a hold the armed ranks switch by themselves.
    return {state, ReleaseAll(reading), ""};
  }
  if (HighestVersion(reading) > state.version &&
      input.free_version > HighestVersion(reading)) {
    // Ranks refuse versions below those that they have had.
    ChangeState next = state;
    next.version = input.free_version;
    return {std::move(next), {}, "took a higher version"};
  }
  if (!IsPreparedEverywhere(reading, state.version)) {
    return {state, PrepareMissing(reading, state.version), ""};
  }
  // A rank that has this newer version prepared can never be armed with the
  // older one, so no coordinator can see all ranks armed any more. Without such
  // a rank the reading mixes reports of different moments.
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
    orders = ReleaseAll(reading);
  }
  return {state, std::move(orders), ""};
}

ChangeDecision Prepare(const ChangeState& state,
                       const ChangeInput& input,
                       TimePoint now) {
  if (AnyHeldOrArmed(input.reading)) {
    return BeginResolving(state, input, now, "another round is under way");
  }
  if (!IsPreparedEverywhere(input.reading, state.version)) {
    if (now - state.phase_began > kPrepareTimeout) {
      return {ChangeState{}, {}, "preparation took too long"};
    }
    return {state, PrepareMissing(input.reading, state.version), ""};
  }
  const RankReport& holder = input.reading.front();
  ChangeState next = Enter(state, ChangePhase::kHolding, now);
  next.hold_server = holder.server;
  next.hold_step = LastStep(input.reading) + input.hold_lead;
  return {next,
          {MakeOrder(RankOrderKind::kHold, holder, 0, next.hold_step)},
          "prepared"};
}

ChangeDecision Hold(const ChangeState& state,
                    const ChangeInput& input,
                    TimePoint now) {
  const GroupReading& reading = input.reading;
  for (const RankReport& rank : reading) {
    const bool mine = rank.server == state.hold_server &&
                      rank.held == std::optional(state.hold_step);
    if (rank.armed || (rank.held && !mine)) {
      return BeginResolving(state, input, now, "another round is under way");
    }
    if (rank.prepared != state.version) {
      return BeginResolving(state, input, now, "the prepared map was replaced");
    }
  }
  const auto holder =
      std::ranges::find(reading, state.hold_server, &RankReport::server);
  if (holder == reading.end()) {
    return {ChangeState{}, {}, "the holding rank has left"};
  }
  if (!holder->held) {
    // The pass may have begun before the order came.
    ChangeState next = state;
    if (LastStep(reading) + 1 >= state.hold_step) {
      next.hold_step = LastStep(reading) + input.hold_lead;
    }
    return {next,
            {MakeOrder(RankOrderKind::kHold, *holder, 0, next.hold_step)},
            ""};
  }
  ChangeState next = Enter(state, ChangePhase::kArming, now);
  std::vector<RankOrder> orders;
  for (const RankReport& rank : reading) {
    orders.push_back(
        MakeOrder(RankOrderKind::kArm, rank, state.version, state.hold_step));
  }
  return {next, std::move(orders), "held"};
}

ChangeDecision Arm(const ChangeState& state,
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
      return BeginResolving(state, input, now, "another round interfered");
    }
    orders.push_back(
        MakeOrder(RankOrderKind::kArm, rank, state.version, state.hold_step));
  }
  if (!held) {
    return BeginResolving(state, input, now, "the hold is gone");
  }
  if (!orders.empty()) {
    return {state, std::move(orders), ""};
  }
  return {Enter(state, ChangePhase::kReleasing, now), ReleaseAll(input.reading),
          "armed"};
}

ChangeDecision Release(const ChangeState& state, const ChangeInput& input) {
  const bool switched =
      std::ranges::all_of(input.reading, [&](const RankReport& rank) {
        return rank.map == state.version && !rank.armed;
      });
  if (switched) {
    return {ChangeState{}, {}, "switched"};
  }
  if (HighestVersion(input.reading) > state.version) {
    // A hold that stands now may be of a later round.
    return {ChangeState{}, {}, "a later round has begun"};
  }
  if (CommonArmed(input.reading) == std::optional(state.version)) {
    return {state, ReleaseAll(input.reading), ""};
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
    // What was sent stays in force; nothing may be concluded meanwhile.
    return {state, {}, ""};
  }
  const RankReport& first = input.reading.front();
  if (state.phase != ChangePhase::kIdle &&
      (first.epoch != state.epoch || first.group != state.group)) {
    return {ChangeState{}, {}, "the group formed again"};
  }
  switch (state.phase) {
    case ChangePhase::kIdle: {
      ChangeState next = state;
      next.group = first.group;
      next.epoch = first.epoch;
      if (AnyHeldOrArmed(input.reading)) {
        return BeginResolving(next, input, now, "found a round to resolve");
      }
      if (!input.wanted ||
          input.free_version <= HighestVersion(input.reading)) {
        return {ChangeState{}, {}, ""};
      }
      next = Enter(std::move(next), ChangePhase::kPreparing, now);
      next.version = input.free_version;
      next.map = *input.wanted;
      return {next, PrepareMissing(input.reading, next.version), "began"};
    }
    case ChangePhase::kPreparing:
      return Prepare(state, input, now);
    case ChangePhase::kHolding:
      return Hold(state, input, now);
    case ChangePhase::kArming:
      return Arm(state, input, now);
    case ChangePhase::kReleasing:
      return Release(state, input);
    case ChangePhase::kResolving:
      return Resolve(state, input);
  }
  return {state, {}, ""};
}

}  // namespace toucanhollow
