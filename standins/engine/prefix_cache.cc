#include "standins/engine/prefix_cache.h"

namespace toucanhollow {

void PrefixCache::Report(bool stored, std::uint64_t block, TimePoint now) {
  const std::int64_t sequence = this->next_sequence++;
  if (this->options.lose_each > 0 && sequence % this->options.lose_each == 0) {
    return;
  }
  this->events.push_back(
      {{sequence, stored, block}, now + this->options.event_delay});
  if (this->events.size() > this->options.max_events) {
    this->events.pop_front();
  }
}

std::size_t PrefixCache::Use(const std::vector<std::uint64_t>& blocks,
                             TimePoint now) {
  std::size_t matched = 0;
  bool prefix = true;
  for (const std::uint64_t block : blocks) {
    const auto known = this->found.find(block);
    if (known != this->found.end()) {
      matched += prefix ? 1 : 0;
      this->order.splice(this->order.begin(), this->order, known->second);
      continue;
    }
    prefix = false;
    this->order.push_front(block);
    this->found.emplace(block, this->order.begin());
    this->Report(true, block, now);
    if (this->order.size() > this->options.max_blocks) {
      this->Report(false, this->order.back(), now);
      this->found.erase(this->order.back());
      this->order.pop_back();
    }
  }
  return matched;
}

void PrefixCache::Clear() {
  this->order.clear();
  this->found.clear();
  this->events.clear();
}

EngineCacheEvents PrefixCache::EventsFrom(std::int64_t from,
                                          TimePoint now) const {
  EngineCacheEvents result;
  result.next = from;
  for (const TimedEvent& timed : this->events) {
    if (timed.event.sequence >= from && timed.visible_at <= now) {
      result.events.push_back(timed.event);
      result.next = timed.event.sequence + 1;
    }
  }
  return result;
}

}  // namespace toucanhollow
