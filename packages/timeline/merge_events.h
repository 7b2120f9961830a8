// Merges the events of many processes into one order and selects from them.
#ifndef TIMELINE_MERGE_EVENTS_H_
#define TIMELINE_MERGE_EVENTS_H_

#include <string>
#include <vector>

#include "timeline/event.h"

namespace toucanhollow {

// One order over all events: by hybrid time, then process, incarnation and
// sequence. An event read from two places is kept once.
std::vector<Event> MergeEvents(std::vector<std::vector<Event>> sources);

struct EventFilter {
  RequestId request;
  EndpointName endpoint;
  std::string subject;
  ProcessName process;

  bool operator==(const EventFilter&) const = default;
};

// The events that match every non-empty field of the filter, in their order.
std::vector<Event> FilterEvents(const std::vector<Event>& events,
                                const EventFilter& filter);

}  // namespace toucanhollow

#endif  // TIMELINE_MERGE_EVENTS_H_
