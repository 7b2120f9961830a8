// EventSplitter: passes on only whole events of an event stream, each once
// and in order.
//
// A server may stop in the middle of an event, and a stream that goes on at
// another server may repeat events.
#ifndef TRAFFIC_EVENT_SPLITTER_H_
#define TRAFFIC_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucanhollow {

// A larger event than any server of the platform sends.
inline constexpr std::size_t kMaxEventBytes = std::size_t{256} * 1024;

struct EventSplitter {
  std::string partial;
  // Where the search for the end of `partial` goes on.
  std::size_t searched = 0;
  // Id of the last event that was passed on.
  std::optional<std::int64_t> last_id;
  // An id that is not the next one has come; the stream cannot go on.
  bool broken_order = false;
  // An event has no end; the stream cannot go on.
  bool too_large = false;

  bool operator==(const EventSplitter&) const = default;
};

// Takes bytes and returns the whole events that are new.
std::string SplitEvents(EventSplitter& splitter, std::string_view bytes);

// Forgets the incomplete event, before the stream goes on elsewhere.
void DropPartialEvent(EventSplitter& splitter);

}  // namespace toucanhollow

#endif  // TRAFFIC_EVENT_SPLITTER_H_
