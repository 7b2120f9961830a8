// PrefixIndex: which endpoint probably holds which prompt prefix in its KV
// cache. Fed by late and gappy cache events and by own dispatches; a wrong
// entry costs time, never correctness.
#ifndef ROUTING_PREFIX_INDEX_H_
#define ROUTING_PREFIX_INDEX_H_

#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

#include "base/incarnation.h"
#include "base/name.h"
#include "base/time.h"

namespace toucanhollow {

// Hash of a block and of all blocks before it.
using BlockHash = std::uint64_t;

struct CacheEvent {
  enum class Kind { kStored, kRemoved, kCleared };

  EndpointName endpoint;
  Incarnation engine;
  // Ascending by one for each event of an engine incarnation.
  std::uint64_t sequence = 0;
  Kind kind = Kind::kStored;
  std::vector<BlockHash> blocks;

  bool operator==(const CacheEvent&) const = default;
};

struct PrefixHolder {
  std::uint16_t slot = 0;
  std::uint16_t epoch = 0;
  // Seconds of the index's clock.
  std::uint32_t recorded_s = 0;

  bool operator==(const PrefixHolder&) const = default;
};

struct PrefixSlot {
  EndpointName endpoint;
  Incarnation engine;
  // Entries of an earlier epoch are void: the engine restarted or cleared.
  std::uint16_t epoch = 0;
  std::uint64_t last_sequence = 0;
  // Entries learned up to then may miss a removal.
  std::uint32_t last_gap_s = 0;
  bool has_gap = false;

  bool operator==(const PrefixSlot&) const = default;
};

using PrefixGeneration =
    std::unordered_map<BlockHash, std::vector<PrefixHolder>>;

struct PrefixIndex {
  // Bound of both generations together, by an estimate of the heap in use.
  std::size_t max_bytes = 64 << 20;
  // An entry older than this counts as evicted.
  Duration max_age = Seconds(600);

  std::vector<PrefixSlot> slots;
  std::map<EndpointName, std::uint16_t> slot_by_name;
  // Two generations approximate the removal of the least recently used
  // entries in constant time: a full younger one replaces the older one.
  PrefixGeneration younger;
  PrefixGeneration older;
  std::size_t younger_bytes = 0;
  std::size_t older_bytes = 0;

  bool operator==(const PrefixIndex&) const = default;
};

// Taken by move, because the index is large. Repeated and older events are
// ignored; a gap in the sequence halves the weight of what was known.
PrefixIndex ApplyCacheEvent(PrefixIndex&& index,
                            const CacheEvent& event,
                            TimePoint now);

// Adds the blocks of a prompt that was just sent to the endpoint, because its
// events arrive late.
PrefixIndex RecordPrompt(PrefixIndex&& index,
                         const EndpointName& endpoint,
                         std::span<const BlockHash> blocks,
                         TimePoint now);

struct PrefixMatch {
  EndpointName endpoint;
  // Expected number of leading blocks in the cache; a block whose removal may
  // have been missed counts half.
  double blocks = 0;

  bool operator==(const PrefixMatch&) const = default;
};

// The endpoints that hold at least the first block. Costs one look-up a block.
std::vector<PrefixMatch> MatchPrefix(const PrefixIndex& index,
                                     std::span<const BlockHash> blocks,
                                     TimePoint now);

}  // namespace toucanhollow

#endif  // ROUTING_PREFIX_INDEX_H_
