#include "routing/prefix_index.h"

#include <algorithm>
#include <utility>

namespace toucanhollow {
namespace {

// Estimated heap use of a hash table node with its bucket and vector, and of
// one holder in that vector with the vector's spare capacity.
constexpr std::size_t kBlockBytes = 80;
constexpr std::size_t kHolderBytes = 16;
constexpr std::uint16_t kMaxSlots = 4096;

std::uint32_t ToSeconds(TimePoint time) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch())
          .count());
}

// Returns the slot of an endpoint, or null if all slots are in use.
PrefixSlot* FindOrAddSlot(PrefixIndex& index, const EndpointName& endpoint) {
  const auto found = index.slot_by_name.find(endpoint);
  if (found != index.slot_by_name.end()) {
    return &index.slots[found->second];
  }
  if (index.slots.size() >= kMaxSlots) {
    return nullptr;
  }
  index.slot_by_name.emplace(endpoint,
                             static_cast<std::uint16_t>(index.slots.size()));
  PrefixSlot slot;
  slot.endpoint = endpoint;
  index.slots.push_back(std::move(slot));
  return &index.slots.back();
}

std::uint16_t IndexOfSlot(const PrefixIndex& index, const PrefixSlot& slot) {
  return static_cast<std::uint16_t>(&slot - index.slots.data());
}

void AddHolder(PrefixIndex& index, BlockHash block, PrefixHolder holder) {
  if (index.younger_bytes > index.max_bytes / 2) {
    index.older = std::exchange(index.younger, {});
    index.older_bytes = std::exchange(index.younger_bytes, 0);
  }
  const auto [entry, inserted] = index.younger.try_emplace(block);
  std::vector<PrefixHolder>& holders = entry->second;
  if (inserted) {
    index.younger_bytes += kBlockBytes;
    if (const auto old = index.older.find(block); old != index.older.end()) {
      index.older_bytes -= std::min(
          index.older_bytes, kBlockBytes + old->second.size() * kHolderBytes);
      index.younger_bytes += old->second.size() * kHolderBytes;
      holders = std::move(old->second);
      index.older.erase(old);
    }
  }
  const auto existing =
      std::ranges::find(holders, holder.slot, &PrefixHolder::slot);
  if (existing != holders.end()) {
    *existing = holder;
    return;
  }
  holders.push_back(holder);
  index.younger_bytes += kHolderBytes;
}

void RemoveHolder(PrefixIndex& index, BlockHash block, std::uint16_t slot) {
  for (PrefixGeneration* generation : {&index.younger, &index.older}) {
    if (const auto found = generation->find(block);
        found != generation->end()) {
      std::erase_if(found->second, [slot](const PrefixHolder& holder) {
        return holder.slot == slot;
      });
    }
  }
}

const std::vector<PrefixHolder>* FindHolders(const PrefixIndex& index,
                                             BlockHash block) {
  for (const PrefixGeneration* generation : {&index.younger, &index.older}) {
    if (const auto found = generation->find(block);
        found != generation->end()) {
      return &found->second;
    }
  }
  return nullptr;
}

}  // namespace

PrefixIndex ApplyCacheEvent(PrefixIndex&& index,
                            const CacheEvent& event,
                            TimePoint now) {
  PrefixSlot* slot = FindOrAddSlot(index, event.endpoint);
  if (slot == nullptr || event.engine < slot->engine ||
      (event.engine == slot->engine && event.sequence <= slot->last_sequence)) {
    return std::move(index);
  }
  const std::uint32_t now_s = ToSeconds(now);
  if (event.engine != slot->engine) {
    // Entries for prompts that were sent before the first event of the first
    // engine incarnation stay valid.
    if (slot->engine != Incarnation{}) {
      ++slot->epoch;
    }
    slot->engine = event.engine;
    slot->has_gap = false;
  } else if (event.sequence != slot->last_sequence + 1) {
    slot->has_gap = true;
    slot->last_gap_s = now_s;
  }
  slot->last_sequence = event.sequence;
  const std::uint16_t slot_index = IndexOfSlot(index, *slot);
  const PrefixHolder holder{slot_index, slot->epoch, now_s};
  switch (event.kind) {
    case CacheEvent::Kind::kStored:
      for (const BlockHash block : event.blocks) {
        AddHolder(index, block, holder);
      }
      break;
    case CacheEvent::Kind::kRemoved:
      for (const BlockHash block : event.blocks) {
        RemoveHolder(index, block, slot_index);
      }
      break;
    case CacheEvent::Kind::kCleared:
      ++slot->epoch;
      break;
  }
  return std::move(index);
}

PrefixIndex RecordPrompt(PrefixIndex&& index,
                         const EndpointName& endpoint,
                         std::span<const BlockHash> blocks,
                         TimePoint now) {
  const PrefixSlot* slot = FindOrAddSlot(index, endpoint);
  if (slot == nullptr) {
    return std::move(index);
  }
  const PrefixHolder holder{IndexOfSlot(index, *slot), slot->epoch,
                            ToSeconds(now)};
  for (const BlockHash block : blocks) {
    AddHolder(index, block, holder);
  }
  return std::move(index);
}

std::vector<PrefixMatch> MatchPrefix(const PrefixIndex& index,
                                     std::span<const BlockHash> blocks,
                                     TimePoint now) {
  struct Progress {
    std::uint32_t depth = 0;
    double weight = 0;
  };
  std::vector<Progress> progress(index.slots.size());
  const std::uint32_t now_s = ToSeconds(now);
  const auto max_age_s = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(index.max_age).count());
  std::vector<std::uint16_t> matched;
  std::uint32_t depth = 0;
  for (const BlockHash block : blocks) {
    const std::vector<PrefixHolder>* holders = FindHolders(index, block);
    if (holders == nullptr) {
      break;
    }
    bool extended = false;
    for (const PrefixHolder& holder : *holders) {
      const PrefixSlot& slot = index.slots[holder.slot];
      Progress& reached = progress[holder.slot];
      if (holder.epoch != slot.epoch || reached.depth != depth ||
          holder.recorded_s + max_age_s < now_s) {
        continue;
      }
      if (depth == 0) {
        matched.push_back(holder.slot);
      }
      reached.depth = depth + 1;
      reached.weight +=
          slot.has_gap && holder.recorded_s <= slot.last_gap_s ? 0.5 : 1.0;
      extended = true;
    }
    if (!extended) {
      break;
    }
    ++depth;
  }
  std::vector<PrefixMatch> matches;
  matches.reserve(matched.size());
  for (const std::uint16_t slot : matched) {
    matches.push_back({index.slots[slot].endpoint, progress[slot].weight});
  }
  return matches;
}

}  // namespace toucanhollow
