#include "traffic/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace toucanhollow {
namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kEventEnd = "\n\n";

// The number in the event's "id" line.
std::optional<std::int64_t> EventId(std::string_view event) {
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      while (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      std::int64_t id = 0;
      const auto [stop, error] =
          std::from_chars(line.data(), line.data() + line.size(), id);
      return error == std::errc() ? std::optional(id) : std::nullopt;
    }
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
  }
  return std::nullopt;
}

}  // namespace

std::string SplitEvents(EventSplitter& splitter, std::string_view bytes) {
  splitter.partial.append(bytes);
  std::string complete;
  std::size_t begin = 0;
  while (!splitter.out_of_order) {
    const std::size_t end_marker = splitter.partial.find(
        kEventEnd, std::max(begin, splitter.search_offset));
    if (end_marker == std::string::npos) {
      break;
    }
    const std::size_t end = end_marker + 2;
    const std::string_view event =
        std::string_view(splitter.partial).substr(begin, end - begin);
    begin = end;
    const std::optional<std::int64_t> id = EventId(event);
    if (id && splitter.last_id) {
      if (*id <= *splitter.last_id) {
        continue;
      }
      if (*id != *splitter.last_id + 1) {
        splitter.out_of_order = true;
        break;
      }
    }
    if (id) {
      splitter.last_id = id;
    }
    complete.append(event);
  }
  splitter.partial.erase(0, begin);
  // The end of the event may be split between two calls.
  splitter.search_offset = splitter.partial.size() < kEventEnd.size()
                               ? 0
                               : splitter.partial.size() - kEventEnd.size() + 1;
  if (splitter.partial.size() > kMaxEventBytes) {
    DropPartialEvent(splitter);
    splitter.too_large = true;
  }
  return complete;
}

void DropPartialEvent(EventSplitter& splitter) {
  splitter.partial.clear();
  splitter.search_offset = 0;
  splitter.too_large = false;
}

}  // namespace toucanhollow
