#include "timeline/draw_timeline.h"

#include <algorithm>
#include <cstdio>
#include <string_view>

namespace toucanhollow {
namespace {

constexpr std::size_t kTimeColumnChars = 10;
constexpr std::size_t kMinColumnChars = 5;

std::string PadLeft(const std::string& text, std::size_t width) {
  return text.size() >= width ? text
                              : std::string(width - text.size(), ' ') + text;
}

std::string PadRight(std::string text, std::size_t width) {
  text.resize(std::max(width, text.size()), ' ');
  return text;
}

std::string FormatMilliseconds(std::int64_t microseconds) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f",
                static_cast<double>(microseconds) / 1000.0);
  return text;
}

std::vector<ProcessName> ListColumns(const std::vector<Event>& events) {
  std::vector<ProcessName> columns;
  for (const Event& event : events) {
    if (std::ranges::find(columns, event.process) == columns.end()) {
      columns.push_back(event.process);
    }
  }
  return columns;
}

std::string DescribeEvent(const Event& event) {
  std::string text(EventKindName(event.kind));
  const auto add = [&](std::string_view label, const std::string& value) {
    if (!value.empty()) {
      text.append(" ").append(label).append("=").append(value);
    }
  };
  add("dispatch", event.dispatch.value);
  add("endpoint", event.endpoint.value);
  add("subject", event.subject);
  if (event.code != 0) {
    add("code", std::to_string(event.code));
  }
  if (!event.detail.empty()) {
    text += ": " + event.detail;
  }
  return text;
}

}  // namespace

std::string DrawTimeline(const std::vector<Event>& events) {
  if (events.empty()) {
    return "no events\n";
  }
  const std::vector<ProcessName> columns = ListColumns(events);
  std::string text = PadLeft("ms", kTimeColumnChars);
  for (const ProcessName& column : columns) {
    text += "  " + PadRight(column.value, kMinColumnChars);
  }
  text += "\n";
  const std::int64_t start_us = events.front().time.wall_us;
  for (const Event& event : events) {
    text += PadLeft(FormatMilliseconds(event.time.wall_us - start_us),
                    kTimeColumnChars);
    for (const ProcessName& column : columns) {
      const char* mark = column == event.process ? "*" : "|";
      text +=
          "  " + PadRight(mark, std::max(kMinColumnChars, column.value.size()));
    }
    text += "  " + DescribeEvent(event) + "\n";
  }
  return text;
}

std::string FormatEventLine(const Event& event) {
  std::string line = std::to_string(event.time.wall_us) + "." +
                     std::to_string(event.time.counter) + " " +
                     event.process.value;
  if (!event.request.value.empty()) {
    line += " request=" + event.request.value;
  }
  return line + " " + DescribeEvent(event);
}

}  // namespace toucanhollow
