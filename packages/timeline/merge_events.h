// Merges the events of several processes into one sequence and filters it.
#ifndef TIMELINE_MERGE_EVENTS_H_
#define TIMELINE_MERGE_EVENTS_H_

#include <string>
#include <vector>

#include "timeline/event.h"

namespace toucanhollow {

// Sorts all events by hybrid time, then process, incarnation and sequence. An
// event that occurs in several sources is returned once.
std::vector<Event> MergeEvents(std::vector<std::vector<Event>> sources);

struct EventFilter {
  RequestId request;
  EndpointName endpoint;
  std::string subject;
  ProcessName process;

  bool operator==(const EventFilter&) const = default;
};

// Returns the events that match every non-empty field of the filter, in their
// original order.
std::vector<Event> FilterEvents(const std::vector<Event>& events,
                                const EventFilter& filter);

}  // namespace toucanhollow

#endif  // TIMELINE_MERGE_EVENTS_H_
