#include "expert_map/map_fold.h"

#include <algorithm>
#include <utility>

namespace toucanhollow {
namespace {

// Drops the oldest items beyond kMaxRetainedMapChanges.
template <typename T>
void DropOldest(std::deque<T>& items) {
  while (items.size() > kMaxRetainedMapChanges) {
    items.pop_front();
  }
}

void DecideOpenChange(GroupMaps& maps,
                      bool committed,
                      const MapEntry& entry,
                      std::string reason) {
  OpenChange open = std::move(*maps.open);
  maps.open.reset();
  maps.decided.push_back({open.offset, open.proposal.change,
                          open.proposal.activation_step, committed,
                          entry.offset, std::move(reason)});
  DropOldest(maps.decided);
  if (committed) {
    maps.versions.push_back({open.offset, std::move(open.proposal.map),
                             open.proposal.activation_step});
    DropOldest(maps.versions);
    maps.current_map_written_at =
        std::max(maps.current_map_written_at, entry.time);
  }
}

struct RecordFolder {
  GroupMaps& maps;
  const MapEntry& entry;

  void operator()(const UnreadableMapRecord&) const {}

  void operator()(const ProposeRecord& proposal) const {
    const MapVersion& current = this->maps.versions.back();
    if (this->maps.open || proposal.base_version != current.version ||
        proposal.activation_step <= this->maps.highest_activation_step ||
        proposal.ranks < 1) {
      this->maps.void_proposals.push_back(proposal.change);
      DropOldest(this->maps.void_proposals);
      return;
    }
    this->maps.open = OpenChange{this->entry.offset, proposal, {}};
    this->maps.highest_activation_step = proposal.activation_step;
  }

  void operator()(const ConfirmRecord& confirm) const {
    std::optional<OpenChange>& open = this->maps.open;
    if (!open || open->offset != confirm.change || confirm.rank < 0 ||
        confirm.rank >= open->proposal.ranks) {
      return;
    }
    open->confirms.emplace(confirm.rank, confirm);
    if (open->confirms.size() ==
        static_cast<std::size_t>(open->proposal.ranks)) {
      DecideOpenChange(this->maps, true, this->entry, {});
    }
  }

  void operator()(const AbortRecord& abort) const {
    if (this->maps.open && this->maps.open->offset == abort.change) {
      DecideOpenChange(this->maps, false, this->entry, abort.reason);
    }
  }

  void operator()(const MapRefreshRecord& refresh) const {
    // The state is already known; the refresh only renews the time stamp.
    if (refresh.version == this->maps.versions.back().version) {
      this->maps.current_map_written_at =
          std::max(this->maps.current_map_written_at, this->entry.time);
    }
  }
};

void FoldRecord(GroupMaps& maps, const MapEntry& entry) {
  std::visit(RecordFolder{maps, entry}, entry.record);
}

// Restores the state from a refresh, then folds the deferred entries that
// follow the offset that the refresh covers. There must be no gap between that
// offset and the entries that were read.
void RestoreFromRefresh(GroupMaps& maps,
                        const MapRefreshRecord& refresh,
                        WallTime time) {
  std::vector<MapEntry> deferred_entries = std::move(maps.deferred_entries);
  // Earlier decisions and void proposals are kept, since they are final.
  if (refresh.version != maps.versions.back().version) {
    maps.versions.push_back(
        {refresh.version, refresh.map, refresh.activation_step});
    DropOldest(maps.versions);
  }
  maps.deferred_entries.clear();
  maps.open.reset();
  maps.highest_activation_step =
      std::max(maps.highest_activation_step, refresh.highest_activation_step);
  maps.known = true;
  maps.current_map_written_at = std::max(maps.current_map_written_at, time);
  for (const MapEntry& entry : deferred_entries) {
    if (entry.offset > refresh.as_of) {
      FoldRecord(maps, entry);
    }
  }
}

// The state of a group without entries is unknown if the log dropped entries,
// which may have been about the group.
GroupMaps MakeUnknownGroup() {
  GroupMaps maps;
  maps.known = false;
  return maps;
}

GroupMaps& FindOrAddGroup(MapFold& fold, const ServiceName& group) {
  const auto found = fold.groups.find(group);
  if (found != fold.groups.end()) {
    return found->second;
  }
  return fold.groups
      .emplace(group,
               fold.contiguous_from == 1 ? GroupMaps{} : MakeUnknownGroup())
      .first->second;
}

}  // namespace

MapFold FoldMapEntry(MapFold fold, const MapEntry& entry) {
  if (entry.offset < fold.next_offset) {
    return fold;
  }
  if (entry.offset > fold.next_offset) {
    for (auto& [name, maps] : fold.groups) {
      maps.known = false;
      maps.deferred_entries.clear();
    }
    fold.contiguous_from = entry.offset;
  }
  fold.next_offset = entry.offset + 1;
  if (std::holds_alternative<UnreadableMapRecord>(entry.record)) {
    return fold;
  }
  GroupMaps& maps = FindOrAddGroup(fold, entry.group);
  if (maps.known) {
    FoldRecord(maps, entry);
    return fold;
  }
  const auto* refresh = std::get_if<MapRefreshRecord>(&entry.record);
  if (refresh != nullptr && refresh->as_of >= fold.contiguous_from - 1 &&
      refresh->as_of < entry.offset &&
      refresh->activation_step >= maps.versions.back().activation_step) {
    RestoreFromRefresh(maps, *refresh, entry.time);
  } else {
    maps.deferred_entries.push_back(entry);
  }
  return fold;
}

GroupMaps MapsOfGroup(const MapFold& fold, const ServiceName& group) {
  const auto found = fold.groups.find(group);
  if (found != fold.groups.end()) {
    return found->second;
  }
  return fold.contiguous_from == 1 ? GroupMaps{} : MakeUnknownGroup();
}

std::optional<MapVersion> MapForStep(const GroupMaps& maps, StepNumber step) {
  if (!maps.known ||
      (maps.open && step >= maps.open->proposal.activation_step)) {
    return std::nullopt;
  }
  for (auto version = maps.versions.rbegin(); version != maps.versions.rend();
       ++version) {
    if (version->activation_step <= step) {
      return *version;
    }
  }
  // The step precedes all retained versions.
  return std::nullopt;
}

const MapVersion& CurrentMap(const GroupMaps& maps) {
  return maps.versions.back();
}

std::optional<DecidedChange> DecisionOf(const GroupMaps& maps,
                                        ChangeOffset change) {
  const auto found =
      std::ranges::find(maps.decided, change, &DecidedChange::offset);
  if (found == maps.decided.end()) {
    return std::nullopt;
  }
  return *found;
}

}  // namespace toucanhollow
