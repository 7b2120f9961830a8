// Timeline events as JSON lines, for the /timeline path and event files.
#ifndef EVENT_CODEC_EVENT_CODEC_H_
#define EVENT_CODEC_EVENT_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "timeline/event.h"

namespace toucanhollow {

// One JSON object without a line end.
std::string EncodeEvent(const Event& event);

struct DecodedEvents {
  std::vector<Event> events;
  // Lines that are no event of a known kind; they are skipped.
  std::size_t skipped = 0;
};

DecodedEvents DecodeEvents(std::string_view lines);

}  // namespace toucanhollow

#endif  // EVENT_CODEC_EVENT_CODEC_H_
