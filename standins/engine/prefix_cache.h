// The stand-in engine's prefix cache and its late, incomplete events.
#ifndef STANDINS_ENGINE_PREFIX_CACHE_H_
#define STANDINS_ENGINE_PREFIX_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "engine_api/cache_event.h"

namespace toucanhollow {

struct PrefixCacheOptions {
  std::size_t max_blocks = 4096;
  Duration event_delay = Milliseconds(300);
  // Each n-th event is lost; 0 loses none.
  std::int64_t lose_each = 50;
  // Older events are forgotten.
  std::size_t max_events = 10'000;
};

// Keeps the most recently used blocks.
class PrefixCache {
 public:
  explicit PrefixCache(PrefixCacheOptions options) : options(options) {}

  // Stores the blocks of a prompt; returns how many of them, from the first
  // on, were there before.
  std::size_t Use(const std::vector<std::uint64_t>& blocks, TimePoint now);
  void Clear();
  // Events from `from` on that are old enough to be seen.
  EngineCacheEvents EventsFrom(std::int64_t from, TimePoint now) const;

 private:
  struct TimedEvent {
    EngineCacheEvent event;
    TimePoint visible_at;
  };
  void Report(bool stored, std::uint64_t block, TimePoint now);

  PrefixCacheOptions options;
  // The most recently used block first.
  std::list<std::uint64_t> order;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> found;
  std::deque<TimedEvent> events;
  std::int64_t next_sequence = 1;
};

}  // namespace toucanhollow

#endif  // STANDINS_ENGINE_PREFIX_CACHE_H_
