#include "timeline/merge_events.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace toucanhollow {
namespace {

auto SortKey(const Event& event) {
  return std::tie(event.time, event.process, event.incarnation, event.sequence);
}

template <typename Field>
bool MatchesIfSet(const Field& wanted, const Field& actual) {
  return wanted == Field() || wanted == actual;
}

}  // namespace

std::vector<Event> MergeEvents(std::vector<std::vector<Event>> sources) {
  std::vector<Event> merged;
  for (std::vector<Event>& source : sources) {
    std::ranges::move(source, std::back_inserter(merged));
  }
  std::ranges::sort(merged, [](const Event& left, const Event& right) {
    return SortKey(left) < SortKey(right);
  });
  const auto end = std::unique(merged.begin(), merged.end(),
                               [](const Event& left, const Event& right) {
                                 return SortKey(left) == SortKey(right);
                               });
  merged.erase(end, merged.end());
  return merged;
}

std::vector<Event> FilterEvents(const std::vector<Event>& events,
                                const EventFilter& filter) {
  std::vector<Event> selected;
  std::ranges::copy_if(events, std::back_inserter(selected),
                       [&](const Event& event) {
                         return MatchesIfSet(filter.request, event.request) &&
                                MatchesIfSet(filter.endpoint, event.endpoint) &&
                                MatchesIfSet(filter.subject, event.subject) &&
                                MatchesIfSet(filter.process, event.process);
                       });
  return selected;
}

}  // namespace toucanhollow
