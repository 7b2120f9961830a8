#include "traffic/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace toucanhollow {
namespace {

constexpr std::string_view kLineEnds = "\r\n";

// Length of the line end at `at`: "\r\n", "\n" or "\r".
std::size_t LineEndSize(std::string_view text, std::size_t at) {
  return text.substr(at, kLineEnds.size()) == kLineEnds ? 2 : 1;
}

struct EventEnd {
  // Offset behind the empty line that ends the event; npos if it has not
  // arrived.
  std::size_t end = std::string_view::npos;
  // Offset at which the search continues when more has arrived.
  std::size_t search_offset = 0;
};

EventEnd FindEventEnd(std::string_view text, std::size_t from) {
  for (std::size_t at = text.find_first_of(kLineEnds, from);
       at != std::string_view::npos; at = text.find_first_of(kLineEnds, from)) {
    from = at + LineEndSize(text, at);
    if (from == text.size()) {
      return {std::string_view::npos, at};
    }
    if (kLineEnds.find(text[from]) != std::string_view::npos) {
      const std::size_t end = from + LineEndSize(text, from);
      return {end, end};
    }
  }
  return {std::string_view::npos, text.size()};
}

struct EventFields {
  // Empty if the event has no id, or one that is not a number.
  std::optional<std::int64_t> id;
  bool has_data = false;
};

std::optional<std::int64_t> ParseId(std::string_view value) {
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  std::int64_t id = 0;
  const char* const end = value.data() + value.size();
  const auto [stop, error] = std::from_chars(value.data(), end, id);
  return error == std::errc() && stop == end ? std::optional(id) : std::nullopt;
}

EventFields ParseFields(std::string_view event) {
  constexpr std::string_view kId = "id:";
  constexpr std::string_view kData = "data";
  EventFields fields;
  while (!event.empty()) {
    const std::size_t end =
        std::min(event.find_first_of(kLineEnds), event.size());
    const std::string_view line = event.substr(0, end);
    if (line.starts_with(kId)) {
      fields.id = ParseId(line.substr(kId.size()));
    }
    fields.has_data = fields.has_data || line == kData ||
                      (line.starts_with(kData) && line[kData.size()] == ':');
    event.remove_prefix(std::min(end + 1, event.size()));
  }
  return fields;
}

// Returns true if the event is to be passed on.
bool AcceptEvent(EventSplitter& splitter, std::string_view event) {
  const EventFields fields = ParseFields(event);
  if (!fields.id) {
    if (fields.has_data) {
      splitter.last_id.reset();
    }
    return true;
  }
  if (splitter.last_id_of_run && *fields.id < *splitter.last_id_of_run) {
    splitter.out_of_order = true;
    return false;
  }
  splitter.last_id_of_run = fields.id;
  if (splitter.last_id && *fields.id <= *splitter.last_id) {
    return false;
  }
  splitter.last_id = fields.id;
  return true;
}

}  // namespace

std::string SplitEvents(EventSplitter& splitter, std::string_view bytes) {
  splitter.partial.append(bytes);
  const std::string_view text = splitter.partial;
  std::string complete;
  std::size_t begin = 0;
  while (!splitter.out_of_order) {
    // Empty lines between events, and the rest of a line end that was split.
    const std::size_t event_begin =
        std::min(text.find_first_not_of(kLineEnds, begin), text.size());
    complete.append(text.substr(begin, event_begin - begin));
    begin = event_begin;
    const EventEnd found =
        FindEventEnd(text, std::max(begin, splitter.search_offset));
    splitter.search_offset = found.search_offset;
    if (found.end == std::string_view::npos) {
      break;
    }
    const std::string_view event = text.substr(begin, found.end - begin);
    begin = found.end;
    if (AcceptEvent(splitter, event)) {
      complete.append(event);
    }
  }
  splitter.partial.erase(0, begin);
  splitter.search_offset -= std::min(splitter.search_offset, begin);
  if (splitter.partial.size() > kMaxEventBytes) {
    StartNextRun(splitter);
    splitter.too_large = true;
  }
  return complete;
}

void StartNextRun(EventSplitter& splitter) {
  splitter.partial.clear();
  splitter.search_offset = 0;
  splitter.last_id_of_run.reset();
  splitter.too_large = false;
}

}  // namespace toucanhollow
