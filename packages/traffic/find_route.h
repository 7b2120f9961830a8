// Finds the route and the service of a request.
#ifndef TRAFFIC_FIND_ROUTE_H_
#define TRAFFIC_FIND_ROUTE_H_

#include <cstdint>
#include <string_view>

#include "traffic/traffic_config.h"

namespace toucanhollow {

// The route of this host with the longest prefix that begins the path, or
// null. `host` may carry a port; `target` may carry a query.
const Route* FindRoute(const TrafficConfig& config,
                       std::string_view host,
                       std::string_view target);

// The service that the route's weights give to this draw. The same draw gives
// the same service. An empty name if the route has no service.
ServiceName ChooseService(const Route& route, std::uint64_t draw);

}  // namespace toucanhollow

#endif  // TRAFFIC_FIND_ROUTE_H_
