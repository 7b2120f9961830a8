// Renders merged events as a text diagram: one column per process and one row
// per event, in order of time.
#ifndef TIMELINE_DRAW_TIMELINE_H_
#define TIMELINE_DRAW_TIMELINE_H_

#include <string>
#include <vector>

#include "timeline/event.h"

namespace toucanhollow {

// `events` must be in the order of MergeEvents. The first column shows the
// milliseconds since the first event, by hybrid time. An asterisk marks the
// process that recorded the event.
std::string DrawTimeline(const std::vector<Event>& events);

// Formats one event as one line, for output that follows new events.
std::string FormatEventLine(const Event& event);

}  // namespace toucanhollow

#endif  // TIMELINE_DRAW_TIMELINE_H_
