#include "routing/baselines.h"

#include <algorithm>
#include <vector>

namespace toucanhollow {
namespace {

std::vector<int> EligibleEndpoints(const RoutingView& view) {
  std::vector<int> eligible;
  for (int index = 0; index < std::ssize(view.endpoints); ++index) {
    if (IsEligible(view, view.endpoints[index])) {
      eligible.push_back(index);
    }
  }
  return eligible;
}

int DrawOne(const std::vector<int>& eligible, double draw) {
  const auto size = std::ssize(eligible);
  const auto position =
      static_cast<std::ptrdiff_t>(draw * static_cast<double>(size));
  return eligible[std::min(position, size - 1)];
}

}  // namespace

int ChooseRoundRobin(const RoutingView& view, std::uint64_t counter) {
  const std::vector<int> eligible = EligibleEndpoints(view);
  return eligible.empty() ? -1 : eligible[counter % eligible.size()];
}

int ChooseLeastOutstanding(const RoutingView& view, double draw) {
  std::vector<int> least;
  for (const int index : EligibleEndpoints(view)) {
    const int load = view.endpoints[index].own_in_flight;
    const int best =
        least.empty() ? load : view.endpoints[least.front()].own_in_flight;
    if (load < best) {
      least.clear();
    }
    if (load <= best) {
      least.push_back(index);
    }
  }
  return least.empty() ? -1 : DrawOne(least, draw);
}

int ChooseBestOfTwo(const RoutingView& view,
                    double first_draw,
                    double second_draw) {
  const std::vector<int> eligible = EligibleEndpoints(view);
  if (eligible.empty()) {
    return -1;
  }
  const int first = DrawOne(eligible, first_draw);
  const int second = DrawOne(eligible, second_draw);
  const auto load = [&](int index) {
    const EndpointView& endpoint = view.endpoints[index];
    return endpoint.other_load_at_report + endpoint.own_in_flight;
  };
  return load(second) < load(first) ? second : first;
}

}  // namespace toucanhollow
