#include "ctl/read_timeline.h"

#include <utility>

#include "ctl/fetch.h"
#include "event_codec/event_codec.h"
#include "settings/parse_address.h"

namespace toucanhollow {
namespace {

// Returns the events after the cursor and advances it. A restarted process
// numbers its events from 1 again, so the cursor restarts with a new
// incarnation.
std::vector<Event> SelectNewEvents(const Address& process,
                                   std::vector<Event> events,
                                   TimelineReadResult& result) {
  std::vector<Event> new_events;
  for (Event& event : events) {
    Incarnation& incarnation = result.cursor.incarnation[process];
    std::uint64_t& last = result.cursor.last_sequence[process];
    if (event.incarnation != incarnation) {
      incarnation = event.incarnation;
      last = 0;
    }
    if (event.sequence <= last) {
      continue;
    }
    if (last != 0 && event.sequence != last + 1) {
      result.warnings.push_back(
          event.process.value + " dropped " +
          std::to_string(event.sequence - last - 1) +
          " events before they were read; raise the setting [timeline] events");
    }
    last = event.sequence;
    new_events.push_back(std::move(event));
  }
  return new_events;
}

}  // namespace

TimelineReadResult ReadTimelines(const std::vector<Address>& processes,
                                 const TimelineCursor& cursor) {
  TimelineReadResult result;
  result.cursor = cursor;
  const std::vector<HttpOutcome> outcomes = FetchPath(processes, "/timeline");
  std::vector<std::vector<Event>> sources;
  for (std::size_t i = 0; i < processes.size(); ++i) {
    const std::string name = FormatAddress(processes[i]);
    if (outcomes[i].end != HttpEnd::kComplete || outcomes[i].status != 200) {
      result.warnings.push_back(name + " cannot be read: " + outcomes[i].error);
      continue;
    }
    DecodedEvents decoded = DecodeEvents(outcomes[i].body);
    if (decoded.skipped > 0) {
      result.warnings.push_back(name + " sent " +
                                std::to_string(decoded.skipped) +
                                " lines that this version cannot decode");
    }
    sources.push_back(
        SelectNewEvents(processes[i], std::move(decoded.events), result));
  }
  result.events = MergeEvents(std::move(sources));
  return result;
}

}  // namespace toucanhollow
