#include "expert_map/map_fold.h"

#include <algorithm>
#include <utility>

namespace toucanhollow {
namespace {

template <typename T>
void KeepRecent(std::deque<T>& items) {
  while (items.size() > kKeptMapChanges) {
    items.pop_front();
  }
}

void Decide(GroupMaps& maps,
            bool committed,
            const MapEntry& entry,
            std::string reason) {
  OpenChange open = std::move(*maps.open);
  maps.open.reset();
  maps.decided.push_back({open.offset, open.proposal.change,
                          open.proposal.activation_step, committed,
                          entry.offset, std::move(reason)});
  KeepRecent(maps.decided);
  if (committed) {
    maps.versions.push_back({open.offset, std::move(open.proposal.map),
                             open.proposal.activation_step});
    KeepRecent(maps.versions);
    maps.youngest_copy = std::max(maps.youngest_copy, entry.time);
  }
}

struct RecordFolder {
  GroupMaps& maps;
  const MapEntry& entry;

  void operator()(const UnreadableMapRecord&) const {}

  void operator()(const ProposeRecord& proposal) const {
    const MapVersion& current = this->maps.versions.back();
    if (this->maps.open || proposal.base_version != current.version ||
        proposal.activation_step <= this->maps.last_step ||
        proposal.ranks < 1) {
      this->maps.void_proposals.push_back(proposal.change);
      KeepRecent(this->maps.void_proposals);
      return;
    }
    this->maps.open = OpenChange{this->entry.offset, proposal, {}};
    this->maps.last_step = proposal.activation_step;
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
      Decide(this->maps, true, this->entry, {});
    }
  }

  void operator()(const AbortRecord& abort) const {
    if (this->maps.open && this->maps.open->offset == abort.change) {
      Decide(this->maps, false, this->entry, abort.reason);
    }
  }

  void operator()(const MapRefreshRecord& refresh) const {
    // A refresh of a state that is known repeats a fact.
    if (refresh.version == this->maps.versions.back().version) {
      this->maps.youngest_copy =
          std::max(this->maps.youngest_copy, this->entry.time);
    }
  }
};

void FoldRecord(GroupMaps& maps, const MapEntry& entry) {
  std::visit(RecordFolder{maps, entry}, entry.record);
}

// Takes the state that a refresh tells, then the entries behind it. The refresh
// must join the range that was read without a gap.
void LearnFromRefresh(GroupMaps& maps,
                      const MapRefreshRecord& refresh,
                      WallTime time) {
  std::vector<MapEntry> waiting = std::move(maps.waiting);
  // Decisions and void proposals from before stay; they are final.
  if (refresh.version != maps.versions.back().version) {
    maps.versions.push_back(
        {refresh.version, refresh.map, refresh.activation_step});
    KeepRecent(maps.versions);
  }
  maps.waiting.clear();
  maps.open.reset();
  maps.last_step = std::max(maps.last_step, refresh.last_step);
  maps.known = true;
  maps.youngest_copy = std::max(maps.youngest_copy, time);
  for (const MapEntry& entry : waiting) {
    if (entry.offset > refresh.as_of) {
      FoldRecord(maps, entry);
    }
  }
}

// The state of a group that was never read cannot be known behind a gap.
GroupMaps UnknownGroup() {
  GroupMaps maps;
  maps.known = false;
  return maps;
}

GroupMaps& GroupOf(MapFold& fold, const ServiceName& group) {
  const auto found = fold.groups.find(group);
  if (found != fold.groups.end()) {
    return found->second;
  }
  return fold.groups
      .emplace(group, fold.contiguous_from == 1 ? GroupMaps{} : UnknownGroup())
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
      maps.waiting.clear();
    }
    fold.contiguous_from = entry.offset;
  }
  fold.next_offset = entry.offset + 1;
  if (std::holds_alternative<UnreadableMapRecord>(entry.record)) {
    return fold;
  }
  GroupMaps& maps = GroupOf(fold, entry.group);
  if (maps.known) {
    FoldRecord(maps, entry);
    return fold;
  }
  const auto* refresh = std::get_if<MapRefreshRecord>(&entry.record);
  if (refresh != nullptr && refresh->as_of >= fold.contiguous_from - 1 &&
      refresh->as_of < entry.offset &&
      refresh->activation_step >= maps.versions.back().activation_step) {
    LearnFromRefresh(maps, *refresh, entry.time);
  } else {
    maps.waiting.push_back(entry);
  }
  return fold;
}

GroupMaps MapsOfGroup(const MapFold& fold, const ServiceName& group) {
  const auto found = fold.groups.find(group);
  if (found != fold.groups.end()) {
    return found->second;
  }
  return fold.contiguous_from == 1 ? GroupMaps{} : UnknownGroup();
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
  // The step is older than the versions that are kept.
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
