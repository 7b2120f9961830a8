// A ring buffer of the events of one process. When it is full, each new event
// replaces the oldest one.
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

  // Sets time, process, incarnation and sequence of the event and stores it.
  // Returns the stored event; the reference is valid until the next Record.
  const Event& Record(Event event, WallTime now);

  // Returns the timestamp for an outgoing message and advances the clock.
  HybridTime Send(WallTime now);

  // Merges the timestamp of a received message into the clock.
  void Receive(HybridTime remote, WallTime now);

  // Returns the stored events with a sequence above `after`, oldest first.
  std::vector<Event> EventsAfter(std::uint64_t after) const;

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
