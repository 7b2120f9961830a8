#include "ctl/read_timeline.h"

#include <utility>

#include "ctl/fetch.h"
#include "event_codec/event_codec.h"
#include "settings/parse_address.h"

namespace toucanhollow {
namespace {

// Keeps the events after the cursor. A restarted process counts from 1 again,
// so a new incarnation starts a new count.
std::vector<Event> TakeNew(const Address& process,
                           std::vector<Event> events,
                           TimelineRead& read) {
  std::vector<Event> fresh;
  for (Event& event : events) {
    Incarnation& incarnation = read.cursor.incarnation[process];
    std::uint64_t& last = read.cursor.last_sequence[process];
    if (event.incarnation != incarnation) {
      incarnation = event.incarnation;
      last = 0;
    }
    if (event.sequence <= last) {
      continue;
    }
    if (last != 0 && event.sequence != last + 1) {
      read.warnings.push_back(
          event.process.value + " dropped " +
          std::to_string(event.sequence - last - 1) +
          " events before they were read; raise [timeline] events");
    }
    last = event.sequence;
    fresh.push_back(std::move(event));
  }
  return fresh;
}

}  // namespace

TimelineRead ReadTimelines(const std::vector<Address>& processes,
                           const TimelineCursor& cursor) {
  TimelineRead read;
  read.cursor = cursor;
  const std::vector<HttpOutcome> outcomes = FetchPath(processes, "/timeline");
  std::vector<std::vector<Event>> sources;
  for (std::size_t i = 0; i < processes.size(); ++i) {
    const std::string name = FormatAddress(processes[i]);
    if (outcomes[i].end != HttpEnd::kComplete || outcomes[i].status != 200) {
      read.warnings.push_back(name + " cannot be read: " + outcomes[i].error);
      continue;
    }
    DecodedEvents decoded = DecodeEvents(outcomes[i].body);
    if (decoded.skipped > 0) {
      read.warnings.push_back(name + " sent " +
                              std::to_string(decoded.skipped) +
                              " lines that this version cannot read");
    }
    sources.push_back(TakeNew(processes[i], std::move(decoded.events), read));
  }
  read.events = MergeEvents(std::move(sources));
  return read;
}

}  // namespace toucanhollow
