#include "routing/routing_view.h"

#include <algorithm>
#include <utility>

namespace toucanhollow {
namespace {

// The position of the name in the sorted list, or where it would be inserted.
auto Position(std::vector<EndpointView>& endpoints, const EndpointName& name) {
  return std::ranges::lower_bound(endpoints, name, {}, &EndpointView::name);
}

EndpointView* Find(RoutingView& view, const EndpointName& name) {
  const auto found = Position(view.endpoints, name);
  return found != view.endpoints.end() && found->name == name ? &*found
                                                              : nullptr;
}

}  // namespace

int FindEndpoint(const RoutingView& view, const EndpointName& name) {
  const auto found =
      std::ranges::lower_bound(view.endpoints, name, {}, &EndpointView::name);
  return found != view.endpoints.end() && found->name == name
             ? static_cast<int>(found - view.endpoints.begin())
             : -1;
}

RoutingView AddEndpoint(RoutingView&& view,
                        const EndpointName& name,
                        const DataCentreName& data_centre) {
  if (EndpointView* endpoint = Find(view, name)) {
    endpoint->data_centre = data_centre;
    return std::move(view);
  }
  EndpointView endpoint;
  endpoint.name = name;
  endpoint.data_centre = data_centre;
  view.endpoints.insert(Position(view.endpoints, name), std::move(endpoint));
  return std::move(view);
}

RoutingView RemoveEndpoint(RoutingView&& view, const EndpointName& name) {
  std::erase_if(view.endpoints, [&](const EndpointView& endpoint) {
    return endpoint.name == name;
  });
  return std::move(view);
}

RoutingView ApplyLoadReport(RoutingView&& view,
                            const EndpointName& name,
                            const LoadReport& report,
                            TimePoint now) {
  EndpointView* endpoint = Find(view, name);
  if (endpoint == nullptr ||
      (endpoint->reported &&
       report.incarnation < endpoint->report.incarnation)) {
    return std::move(view);
  }
  if (endpoint->reported &&
      report.incarnation != endpoint->report.incarnation) {
    endpoint->own_in_flight = 0;
    endpoint->granted = 0;
  }
  endpoint->report = report;
  endpoint->reported = true;
  endpoint->reported_at = now;
  endpoint->sent_since = 0;
  endpoint->ended_since = 0;
  return std::move(view);
}

RoutingView ApplyGrant(RoutingView&& view,
                       const EndpointName& name,
                       int count,
                       Duration lifetime,
                       TimePoint now) {
  if (EndpointView* endpoint = Find(view, name)) {
    endpoint->granted = count;
    endpoint->grant_expiry = now + lifetime;
  }
  return std::move(view);
}

RoutingView NoteSent(RoutingView&& view,
                     const EndpointName& name,
                     TimePoint now) {
  if (EndpointView* endpoint = Find(view, name)) {
    ++endpoint->sent_since;
    ++endpoint->own_in_flight;
    if (endpoint->granted > 0 && now < endpoint->grant_expiry) {
      --endpoint->granted;
      // The slot was part of the reported grants and is now in use.
      endpoint->report.granted = std::max(0, endpoint->report.granted - 1);
    }
  }
  return std::move(view);
}

RoutingView NoteEnded(RoutingView&& view, const EndpointName& name) {
  EndpointView* endpoint = Find(view, name);
  if (endpoint != nullptr && endpoint->own_in_flight > 0) {
    --endpoint->own_in_flight;
    ++endpoint->ended_since;
  }
  return std::move(view);
}

RoutingView NoteFull(RoutingView&& view, const EndpointName& name) {
  if (EndpointView* endpoint = Find(view, name)) {
    endpoint->granted = 0;
    const int missing = endpoint->report.limit - CorrectedLoad(*endpoint);
    endpoint->report.load += std::max(0, missing);
  }
  return std::move(view);
}

RoutingView SetSuspected(RoutingView&& view,
                         const EndpointName& name,
                         bool suspected) {
  if (EndpointView* endpoint = Find(view, name)) {
    endpoint->suspected = suspected;
  }
  return std::move(view);
}

RoutingView SetDataCentreView(RoutingView&& view,
                              const DataCentreName& name,
                              const DataCentreView& data_centre) {
  view.data_centres[name] = data_centre;
  return std::move(view);
}

int CorrectedLoad(const EndpointView& endpoint) {
  return std::max(
      endpoint.own_in_flight,
      endpoint.report.load + endpoint.sent_since - endpoint.ended_since);
}

int FreeSlots(const EndpointView& endpoint, TimePoint now) {
  const int own_grant = now < endpoint.grant_expiry ? endpoint.granted : 0;
  // A grant younger than the report is not among the reported grants.
  const int others = std::max(0, endpoint.report.granted - own_grant);
  return std::max(own_grant,
                  endpoint.report.limit - CorrectedLoad(endpoint) - others);
}

bool IsEligible(const RoutingView& view, const EndpointView& endpoint) {
  if (!endpoint.reported || !endpoint.report.takes_work) {
    return false;
  }
  const auto data_centre = view.data_centres.find(endpoint.data_centre);
  return data_centre == view.data_centres.end() || !data_centre->second.out;
}

}  // namespace toucanhollow
