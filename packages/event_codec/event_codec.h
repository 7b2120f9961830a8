// Encodes and decodes timeline events as JSON lines, for the path /timeline and
// for event files.
#ifndef EVENT_CODEC_EVENT_CODEC_H_
#define EVENT_CODEC_EVENT_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "timeline/event.h"

namespace toucanhollow {

// Returns one JSON object without a newline.
std::string EncodeEvent(const Event& event);

struct DecodedEvents {
  std::vector<Event> events;
  // Number of lines that were skipped because they are not events of a known
  // kind.
  std::size_t skipped = 0;
};

DecodedEvents DecodeEvents(std::string_view lines);

}  // namespace toucanhollow

#endif  // EVENT_CODEC_EVENT_CODEC_H_
