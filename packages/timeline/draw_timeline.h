// Draws merged events as text: one column for each process, one row for each
// event, time downwards.
#ifndef TIMELINE_DRAW_TIMELINE_H_
#define TIMELINE_DRAW_TIMELINE_H_

#include <string>
#include <vector>

#include "timeline/event.h"

namespace toucanhollow {

// `events` in the order of MergeEvents. The first column is milliseconds since
// the first event, by hybrid time. A mark stands in the column of the process
// that recorded the event.
std::string DrawTimeline(const std::vector<Event>& events);

// One line for one event, for following.
std::string FormatEventLine(const Event& event);

}  // namespace toucanhollow

#endif  // TIMELINE_DRAW_TIMELINE_H_
