// Baseline routers, kept for comparison in measurements.
#ifndef ROUTING_BASELINES_H_
#define ROUTING_BASELINES_H_

#include <cstdint>

#include "routing/routing_view.h"

namespace toucanhollow {

// Each returns an index in the view, or -1 if no endpoint is eligible.

// The next eligible endpoint at or after `counter`; the caller counts up.
int ChooseRoundRobin(const RoutingView& view, std::uint64_t counter);

// The endpoint with the least own dispatches in flight; ties by `draw`.
int ChooseLeastOutstanding(const RoutingView& view, double draw);

// Of two endpoints drawn at random, the one with the lower reported load.
int ChooseBestOfTwo(const RoutingView& view,
                    double first_draw,
                    double second_draw);

}  // namespace toucanhollow

#endif  // ROUTING_BASELINES_H_
