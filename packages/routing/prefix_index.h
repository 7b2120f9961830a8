// PrefixIndex records which endpoints probably hold which prompt prefixes in
// their KV cache. Its sources are cache events, which arrive late and may be
// lost, and the prompts that this host dispatches. A wrong entry costs time but
// never correctness.
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

// Hash of a prompt block and all blocks before it.
using BlockHash = std::uint64_t;

struct CacheEvent {
  enum class Kind { kStored, kRemoved, kCleared };

  EndpointName endpoint;
  Incarnation engine;
  // Increases by one with each event of an engine incarnation.
  std::uint64_t sequence = 0;
  Kind kind = Kind::kStored;
  std::vector<BlockHash> blocks;

  bool operator==(const CacheEvent&) const = default;
};

// One endpoint's entry for a block.
struct PrefixHolder {
  std::uint16_t slot = 0;
  std::uint16_t epoch = 0;
  // Time at which the entry was recorded, in seconds since the clock's epoch.
  std::uint32_t recorded_s = 0;

  bool operator==(const PrefixHolder&) const = default;
};

// State of one endpoint in the index. PrefixHolder::slot is its position.
struct PrefixSlot {
  EndpointName endpoint;
  Incarnation engine;
  // Incremented when the engine restarts or clears its cache. Entries of an
  // earlier epoch are invalid.
  std::uint16_t epoch = 0;
  std::uint64_t last_sequence = 0;
  // Time of the last gap in the event sequence, in seconds like
  // PrefixHolder::recorded_s. The removal of an entry recorded up to then may
  // have been missed.
  std::uint32_t last_gap_s = 0;
  bool has_gap = false;

  bool operator==(const PrefixSlot&) const = default;
};

using PrefixGeneration =
    std::unordered_map<BlockHash, std::vector<PrefixHolder>>;

struct PrefixIndex {
  // Limit on the estimated heap use of both generations together.
  std::size_t max_bytes = 64 << 20;
  // An entry older than this is treated as evicted.
  Duration max_age = Seconds(600);

  std::vector<PrefixSlot> slots;
  std::map<EndpointName, std::uint16_t> slot_by_name;
  // Two generations approximate LRU eviction in constant time: when the younger
  // one is full, it replaces the older one.
  PrefixGeneration younger;
  PrefixGeneration older;
  std::size_t younger_bytes = 0;
  std::size_t older_bytes = 0;

  bool operator==(const PrefixIndex&) const = default;
};

// Applies a cache event. The index is passed by move because it is large.
// Repeated and older events are ignored. A gap in the sequence halves the
// weight of the endpoint's existing entries.
PrefixIndex ApplyCacheEvent(PrefixIndex&& index,
                            const CacheEvent& event,
                            TimePoint now);

// Adds the blocks of a prompt that was just sent to the endpoint, because the
// endpoint's own events arrive late.
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

// Returns the endpoints that hold at least the first block. Does at most one
// look-up per block in each generation.
std::vector<PrefixMatch> MatchPrefix(const PrefixIndex& index,
                                     std::span<const BlockHash> blocks,
                                     TimePoint now);

}  // namespace toucanhollow

#endif  // ROUTING_PREFIX_INDEX_H_
