// Reads the timelines of several processes and merges them.
#ifndef CTL_READ_TIMELINE_H_
#define CTL_READ_TIMELINE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/address.h"
#include "timeline/merge_events.h"

namespace toucanhollow {

// The position up to which the events of each process have been read.
struct TimelineCursor {
  std::map<Address, std::uint64_t> last_sequence;
  std::map<Address, Incarnation> incarnation;

  bool operator==(const TimelineCursor&) const = default;
};

struct TimelineReadResult {
  TimelineCursor cursor;
  std::vector<Event> events;  // merged from all processes
  // One sentence for each process that could not be read, that sent lines which
  // cannot be decoded, or whose ring dropped events before they were read.
  std::vector<std::string> warnings;
};

// Reads every event after the cursor from /timeline of each process. A process
// that does not answer adds a warning; the other processes are still read.
TimelineReadResult ReadTimelines(const std::vector<Address>& processes,
                                 const TimelineCursor& cursor);

}  // namespace toucanhollow

#endif  // CTL_READ_TIMELINE_H_
