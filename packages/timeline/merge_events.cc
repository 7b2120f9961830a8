#include "timeline/merge_events.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace toucanhollow {
namespace {

auto OrderOf(const Event& event) {
  return std::tie(event.time, event.process, event.incarnation, event.sequence);
}

template <typename Field>
bool Matches(const Field& wanted, const Field& actual) {
  return wanted == Field() || wanted == actual;
}

}  // namespace

std::vector<Event> MergeEvents(std::vector<std::vector<Event>> sources) {
  std::vector<Event> merged;
  for (std::vector<Event>& source : sources) {
    std::ranges::move(source, std::back_inserter(merged));
  }
  std::ranges::sort(merged, [](const Event& left, const Event& right) {
    return OrderOf(left) < OrderOf(right);
  });
  const auto end = std::unique(merged.begin(), merged.end(),
                               [](const Event& left, const Event& right) {
                                 return OrderOf(left) == OrderOf(right);
                               });
  merged.erase(end, merged.end());
  return merged;
}

std::vector<Event> FilterEvents(const std::vector<Event>& events,
                                const EventFilter& filter) {
  std::vector<Event> selected;
  std::ranges::copy_if(events, std::back_inserter(selected),
                       [&](const Event& event) {
                         return Matches(filter.request, event.request) &&
                                Matches(filter.endpoint, event.endpoint) &&
                                Matches(filter.subject, event.subject) &&
                                Matches(filter.process, event.process);
                       });
  return selected;
}

}  // namespace toucanhollow
