// Finds the route of a request and chooses its service.
#ifndef TRAFFIC_FIND_ROUTE_H_
#define TRAFFIC_FIND_ROUTE_H_

#include <cstdint>
#include <string_view>

#include "traffic/traffic_config.h"

namespace toucanhollow {

// The route of this host with the longest prefix of the path, or null. `host`
// may carry a port; `target` may carry a query.
const Route* FindRoute(const TrafficConfig& config,
                       std::string_view host,
                       std::string_view target);

// Chooses a service in proportion to the route's weights. `draw` is a random
// number; the same number gives the same service. Returns an empty name if the
// route has no service.
ServiceName ChooseService(const Route& route, std::uint64_t draw);

}  // namespace toucanhollow

#endif  // TRAFFIC_FIND_ROUTE_H_
