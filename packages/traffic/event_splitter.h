// EventSplitter: splits an event stream into events and passes on each complete
// event once and in order.
//
// A server may stop in the middle of an event, and a stream that is resumed at
// another server may repeat events.
#ifndef TRAFFIC_EVENT_SPLITTER_H_
#define TRAFFIC_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucanhollow {

// Larger than any event that a server of the platform sends.
inline constexpr std::size_t kMaxEventBytes = std::size_t{256} * 1024;

struct EventSplitter {
  std::string partial;
  // Offset in `partial` at which the search for the end of the event continues.
  std::size_t search_offset = 0;
  // Id of the last event that was passed on.
  std::optional<std::int64_t> last_id;
  // An event arrived whose id is not the next one; the stream cannot continue.
  bool out_of_order = false;
  // `partial` exceeded kMaxEventBytes without the end of the event; the stream
  // cannot continue.
  bool too_large = false;

  bool operator==(const EventSplitter&) const = default;
};

// Appends bytes of the stream and returns the complete events that have not
// been returned before.
std::string SplitEvents(EventSplitter& splitter, std::string_view bytes);

// Discards the incomplete event, before the stream is resumed at another
// server.
void DropPartialEvent(EventSplitter& splitter);

}  // namespace toucanhollow

#endif  // TRAFFIC_EVENT_SPLITTER_H_
