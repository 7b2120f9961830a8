// Splits server-sent events out of arbitrary pieces of a body.
#ifndef ENGINE_API_EVENT_STREAM_H_
#define ENGINE_API_EVENT_STREAM_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace toucanhollow {

// A line that grows beyond it is a fault of the engine.
inline constexpr std::size_t kMaxEventBytes = std::size_t{64} * 1024;

// Appends `bytes` to `pending`, calls `on_data` with the data of each whole
// line "data: ..." and keeps the rest. Returns false if `on_data` did or if a
// line is too long.
bool FeedEventStream(std::string& pending,
                     std::string_view bytes,
                     const std::function<bool(std::string_view)>& on_data);

}  // namespace toucanhollow

#endif  // ENGINE_API_EVENT_STREAM_H_
