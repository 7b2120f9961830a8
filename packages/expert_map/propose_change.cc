#include "expert_map/propose_change.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace toucanhollow {

bool IsProposer(const GroupStatus& group, int rank) {
  return static_cast<int>(group.alive_ranks.size()) == group.ranks &&
         group.ranks > 0 && *group.alive_ranks.begin() == rank;
}

Result<ProposeRecord> ProposeChange(const MapFold& fold,
                                    const GroupStatus& group,
                                    const MapLogStatus& log,
                                    ExpertMap map,
                                    std::string change,
                                    ProcessName proposer) {
  if (!log.reachable || log.last_append > kSlowAppend) {
    return MakeFailure(ResultCode::kMapLogTooSlow,
                       group.group.value + ": the last append took " +
                           std::to_string(log.last_append.count() / 1000) +
                           " ms; the change waits for the log");
  }
  const GroupMaps maps = MapsOfGroup(fold, group.group);
  if (!maps.known || fold.next_offset <= log.end) {
    return MakeFailure(
        ResultCode::kMapBaseVersionStale,
        group.group.value + ": the stream is not read to its end yet");
  }
  if (maps.open) {
    return MakeFailure(ResultCode::kMapChangeOpen,
                       group.group.value + ": change at offset " +
                           std::to_string(maps.open->offset) +
                           " is not decided");
  }
  ProposeRecord proposal;
  proposal.change = std::move(change);
  proposal.base_version = CurrentMap(maps).version;
  proposal.map = std::move(map);
  proposal.ranks = group.ranks;
  proposal.lead =
      std::max(kMinMapLead, kLeadPerStagingTime * group.staging_time);
  // One step more than the lead, as the present step has begun.
  const Duration step_time = std::max(group.step_time, Duration(1));
  proposal.activation_step =
      std::max(group.step + proposal.lead / step_time + 1, maps.last_step + 1);
  proposal.proposer = std::move(proposer);
  return proposal;
}

std::optional<MapRefreshRecord> PlanMapRefresh(const MapFold& fold,
                                               const GroupStatus& group,
                                               const MapLogStatus& log,
                                               int rank,
                                               WallTime now) {
  const GroupMaps maps = MapsOfGroup(fold, group.group);
  // A group without changes has nothing to keep but its absence, which a
  // refresh states as well, since behind a gap nobody could tell it.
  if (!log.reachable || log.last_append > kSlowAppend || !maps.known ||
      maps.open || fold.next_offset <= log.end) {
    return std::nullopt;
  }
  const auto order = std::distance(group.alive_ranks.begin(),
                                   group.alive_ranks.lower_bound(rank));
  const WallTime due = maps.youngest_copy +
                       log.retention / kMapRefreshPartOfRetention +
                       order * (log.retention / kMapRefreshRankPartOfRetention);
  if (now < due) {
    return std::nullopt;
  }
  const MapVersion& current = CurrentMap(maps);
  return MapRefreshRecord{current.version, current.map, current.activation_step,
                          maps.last_step, fold.next_offset - 1};
}

}  // namespace toucanhollow
