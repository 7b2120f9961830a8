#include "engine_api/event_stream.h"

namespace toucanhollow {

bool FeedEventStream(std::string& pending,
                     std::string_view bytes,
                     const std::function<bool(std::string_view)>& on_data) {
  constexpr std::string_view kPrefix = "data: ";
  pending.append(bytes);
  std::string_view rest = pending;
  while (true) {
    const std::size_t end = rest.find('\n');
    if (end == std::string_view::npos) {
      break;
    }
    std::string_view line = rest.substr(0, end);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.size() > kMaxEventBytes ||
        (line.starts_with(kPrefix) && !on_data(line.substr(kPrefix.size())))) {
      return false;
    }
    rest.remove_prefix(end + 1);
  }
  pending.erase(0, pending.size() - rest.size());
  return pending.size() <= kMaxEventBytes;
}

}  // namespace toucanhollow
