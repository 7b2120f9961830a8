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
  if (!log.reachable || log.last_append > kMaxAppendTime) {
    return MakeFailure(ResultCode::kMapLogTooSlow,
                       group.group.value + ": the last append took " +
                           std::to_string(log.last_append.count() / 1000) +
                           " ms; a change is proposed once appends are faster");
  }
  const GroupMaps maps = MapsOfGroup(fold, group.group);
  if (!maps.known || fold.next_offset <= log.end) {
    return MakeFailure(
        ResultCode::kMapBaseVersionStale,
        group.group.value +
            ": this process has not read stream maps to its end yet");
  }
  if (maps.open) {
    return MakeFailure(ResultCode::kMapChangeOpen,
                       group.group.value + ": the change at offset " +
                           std::to_string(maps.open->offset) +
                           " is not decided yet");
  }
  ProposeRecord proposal;
  proposal.change = std::move(change);
  proposal.base_version = CurrentMap(maps).version;
  proposal.map = std::move(map);
  proposal.ranks = group.ranks;
  proposal.lead =
      std::max(kMinMapLead, kLeadPerStagingTime * group.staging_time);
  // One step more than the lead time, since the current step has already begun.
  const Duration step_time = std::max(group.step_time, Duration(1));
  proposal.activation_step =
      std::max(group.step + proposal.lead / step_time + 1,
               maps.highest_activation_step + 1);
  proposal.proposer = std::move(proposer);
  return proposal;
}

std::optional<MapRefreshRecord> PlanMapRefresh(const MapFold& fold,
                                               const GroupStatus& group,
                                               const MapLogStatus& log,
                                               int rank,
                                               WallTime now) {
  const GroupMaps maps = MapsOfGroup(fold, group.group);
  // A group without changes is refreshed as well. After a gap in the log,
  // readers could not tell otherwise that it still has its initial map.
  if (!log.reachable || log.last_append > kMaxAppendTime || !maps.known ||
      maps.open || fold.next_offset <= log.end) {
    return std::nullopt;
  }
  const auto rank_position = std::distance(group.alive_ranks.begin(),
                                           group.alive_ranks.lower_bound(rank));
  const WallTime due =
      maps.current_map_written_at +
      log.retention / kMapRefreshRetentionDivisor +
      rank_position * (log.retention / kMapRefreshStaggerDivisor);
  if (now < due) {
    return std::nullopt;
  }
  const MapVersion& current = CurrentMap(maps);
  return MapRefreshRecord{current.version, current.map, current.activation_step,
                          maps.highest_activation_step, fold.next_offset - 1};
}

}  // namespace toucanhollow
