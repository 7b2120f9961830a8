// Parses server-sent events from a body that arrives in arbitrary pieces.
#ifndef ENGINE_API_EVENT_STREAM_H_
#define ENGINE_API_EVENT_STREAM_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace toucanhollow {

// Maximum length of one line. A longer line is a fault of the engine.
inline constexpr std::size_t kMaxEventBytes = std::size_t{64} * 1024;

// Appends `bytes` to `pending`, calls `on_data` with the data of each complete
// line "data: ...", and leaves the incomplete rest in `pending`. Returns false
// if `on_data` returned false or if a line is longer than kMaxEventBytes.
bool FeedEventStream(std::string& pending,
                     std::string_view bytes,
                     const std::function<bool(std::string_view)>& on_data);

}  // namespace toucanhollow

#endif  // ENGINE_API_EVENT_STREAM_H_
