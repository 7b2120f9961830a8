// Baseline routing policies that benchmarks compare ChooseEndpoint with.
#ifndef ROUTING_BASELINES_H_
#define ROUTING_BASELINES_H_

#include <cstdint>

#include "routing/routing_view.h"

namespace toucanhollow {

// Each function returns an index into view.endpoints, or -1 if no endpoint is
// eligible. Draws are random numbers in [0, 1).

// Returns the eligible endpoint at position `counter` modulo their number. The
// caller increments `counter` for each request.
int ChooseRoundRobin(const RoutingView& view, std::uint64_t counter);

// Returns the endpoint with the fewest dispatches of this host in flight;
// `draw` breaks ties.
int ChooseLeastOutstanding(const RoutingView& view, double draw);

// Power of two choices: of two endpoints drawn at random, returns the one with
// the lower load by the last report and the dispatches of this host.
int ChooseBestOfTwo(const RoutingView& view,
                    double first_draw,
                    double second_draw);

}  // namespace toucanhollow

#endif  // ROUTING_BASELINES_H_
