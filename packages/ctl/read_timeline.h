// Reads the timelines of many processes and shows them as one.
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

// What has been read so far of each process.
struct TimelineCursor {
  std::map<Address, std::uint64_t> last_sequence;
  std::map<Address, Incarnation> incarnation;

  bool operator==(const TimelineCursor&) const = default;
};

struct TimelineRead {
  TimelineCursor cursor;
  std::vector<Event> events;  // merged
  // A sentence for each process that could not be read, or whose ring has
  // dropped events since the last read.
  std::vector<std::string> warnings;
};

// Reads every event after the cursor from /timeline of each process. A process
// that does not answer is a warning; the others are still read.
TimelineRead ReadTimelines(const std::vector<Address>& processes,
                           const TimelineCursor& cursor);

}  // namespace toucanhollow

#endif  // CTL_READ_TIMELINE_H_
