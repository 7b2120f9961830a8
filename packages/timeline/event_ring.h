// The events of one process, bounded; the oldest are dropped first.
#ifndef TIMELINE_EVENT_RING_H_
#define TIMELINE_EVENT_RING_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.h"
#include "timeline/event.h"

namespace toucanhollow {

class EventRing {
 public:
  EventRing(ProcessName process, Incarnation incarnation, std::size_t capacity);

  // Stamps and keeps the event; fills in time, process, incarnation and
  // sequence. Returns the stamped event.
  const Event& Record(Event event, WallTime now);

  // The time to put into an outgoing message.
  HybridTime Send(WallTime now);

  // Takes in the time of a received message.
  void Receive(HybridTime remote, WallTime now);

  // Kept events with a sequence above `after`, oldest first.
  std::vector<Event> Since(std::uint64_t after) const;

  std::uint64_t last_sequence() const { return this->sequence; }

 private:
  ProcessName process;
  Incarnation incarnation;
  std::size_t capacity;
  HybridTime clock;
  std::uint64_t sequence = 0;
  std::vector<Event> events;  // event n is at (n - 1) % capacity
};

}  // namespace toucanhollow

#endif  // TIMELINE_EVENT_RING_H_
