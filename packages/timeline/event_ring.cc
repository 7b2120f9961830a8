#include "timeline/event_ring.h"

#include <algorithm>
#include <utility>

#include "base/check.h"

namespace toucanhollow {

EventRing::EventRing(ProcessName process,
                     Incarnation incarnation,
                     std::size_t capacity)
    : process(std::move(process)),
      incarnation(incarnation),
      capacity(capacity) {
  InternalCheck(capacity > 0, "capacity of the event ring is positive");
}

const Event& EventRing::Record(Event event, WallTime now) {
  this->clock = NextLocalTime(this->clock, now);
  ++this->sequence;
  event.time = this->clock;
  event.process = this->process;
  event.incarnation = this->incarnation;
  event.sequence = this->sequence;
  const std::size_t index = (this->sequence - 1) % this->capacity;
  if (index == this->events.size()) {
    this->events.push_back(std::move(event));
  } else {
    this->events[index] = std::move(event);
  }
  return this->events[index];
}

HybridTime EventRing::Send(WallTime now) {
  this->clock = NextLocalTime(this->clock, now);
  return this->clock;
}

void EventRing::Receive(HybridTime remote, WallTime now) {
  this->clock = toucanhollow::MergeRemoteTime(this->clock, remote, now);
}

std::vector<Event> EventRing::EventsAfter(std::uint64_t after) const {
  const std::uint64_t oldest = this->sequence - this->events.size();
  std::vector<Event> result;
  for (std::uint64_t n = std::max(after, oldest); n < this->sequence; ++n) {
    result.push_back(this->events[n % this->capacity]);
  }
  return result;
}

}  // namespace toucanhollow
