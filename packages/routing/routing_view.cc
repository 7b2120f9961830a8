#include "routing/routing_view.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace toucanhollow {
namespace {

// Weight of a new report in the mean load of other senders.
constexpr double kNewReportWeight = 0.25;
// Assumed while an endpoint has not reported its mean service time.
constexpr double kDefaultServiceMs = 1000;
// Caps the backoff from a full endpoint at 32 times the time in which it frees
// one slot, so that a host never stops probing it.
constexpr int kMaxBackoffDoublings = 5;

double ServiceTimeMs(const EndpointView& endpoint) {
  return endpoint.report.mean_service > Duration(0)
             ? ToMilliseconds(endpoint.report.mean_service)
             : kDefaultServiceMs;
}

// Mean time in which a full endpoint frees one slot.
double SlotReleaseIntervalMs(const EndpointView& endpoint) {
  return ServiceTimeMs(endpoint) / std::max(1, endpoint.report.limit);
}

// Share of the reported requests that is still in the endpoint.
double RemainingShareOfReport(const EndpointView& endpoint, TimePoint now) {
  const double age_ms =
      std::max(0.0, ToMilliseconds(now - endpoint.reported_at));
  return std::exp(-age_ms / ServiceTimeMs(endpoint));
}

double EstimateOtherLoad(const EndpointView& endpoint, TimePoint now) {
  return endpoint.other_load_mean +
         RemainingShareOfReport(endpoint, now) *
             (endpoint.other_load_at_report - endpoint.other_load_mean);
}

// Returns the position of the name in the sorted list, or the one where it
// would be inserted.
auto FindInsertPosition(std::vector<EndpointView>& endpoints,
                        const EndpointName& name) {
  return std::ranges::lower_bound(endpoints, name, {}, &EndpointView::name);
}

EndpointView* FindMutableEndpoint(RoutingView& view, const EndpointName& name) {
  const auto found = FindInsertPosition(view.endpoints, name);
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
  if (EndpointView* endpoint = FindMutableEndpoint(view, name)) {
    endpoint->data_centre = data_centre;
    return std::move(view);
  }
  EndpointView endpoint;
  endpoint.name = name;
  endpoint.data_centre = data_centre;
  view.endpoints.insert(FindInsertPosition(view.endpoints, name),
                        std::move(endpoint));
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
  EndpointView* endpoint = FindMutableEndpoint(view, name);
  if (endpoint == nullptr ||
      (endpoint->reported &&
       report.incarnation < endpoint->report.incarnation)) {
    return std::move(view);
  }
  if (endpoint->reported &&
      report.incarnation != endpoint->report.incarnation) {
    endpoint->own_in_flight = 0;
    endpoint->granted = 0;
    endpoint->full_refusals = 0;
    endpoint->refused_in_flight = 0;
    endpoint->freed_slots = 0;
    endpoint->reported = false;
  }
  endpoint->other_load_at_report =
      std::max(0, report.load - endpoint->own_in_flight);
  endpoint->other_load_mean =
      endpoint->reported
          ? endpoint->other_load_mean +
                kNewReportWeight *
                    (endpoint->other_load_at_report - endpoint->other_load_mean)
          : endpoint->other_load_at_report;
  if (report.load < report.limit) {
    endpoint->full_refusals = 0;
  }
  endpoint->report = report;
  endpoint->reported = true;
  endpoint->reported_at = now;
  return std::move(view);
}

RoutingView ApplyGrant(RoutingView&& view,
                       const EndpointName& name,
                       int count,
                       Duration lifetime,
                       TimePoint now) {
  if (EndpointView* endpoint = FindMutableEndpoint(view, name)) {
    endpoint->granted = count;
    endpoint->grant_expiry = now + lifetime;
  }
  return std::move(view);
}

RoutingView RecordDispatchSent(RoutingView&& view,
                               const EndpointName& name,
                               TimePoint now) {
  if (EndpointView* endpoint = FindMutableEndpoint(view, name)) {
    ++endpoint->own_in_flight;
    endpoint->last_sent = now;
    endpoint->freed_slots = std::max(0, endpoint->freed_slots - 1);
    if (endpoint->granted > 0 && now < endpoint->grant_expiry) {
      --endpoint->granted;
      // The report counts this slot as granted; it is now in use.
      endpoint->report.granted = std::max(0, endpoint->report.granted - 1);
    }
  }
  return std::move(view);
}

RoutingView RecordDispatchEnded(RoutingView&& view, const EndpointName& name) {
  EndpointView* endpoint = FindMutableEndpoint(view, name);
  if (endpoint == nullptr || endpoint->own_in_flight == 0) {
    return std::move(view);
  }
  --endpoint->own_in_flight;
  if (endpoint->refused_in_flight > 0) {
    --endpoint->refused_in_flight;
  } else {
    ++endpoint->freed_slots;
    endpoint->full_refusals = 0;
  }
  return std::move(view);
}

RoutingView RecordFullRefusal(RoutingView&& view, const EndpointName& name) {
  if (EndpointView* endpoint = FindMutableEndpoint(view, name)) {
    endpoint->granted = 0;
    endpoint->freed_slots = 0;
    endpoint->last_full_refusal = endpoint->last_sent;
    ++endpoint->full_refusals;
    ++endpoint->refused_in_flight;
  }
  return std::move(view);
}

RoutingView SetSuspected(RoutingView&& view,
                         const EndpointName& name,
                         bool suspected) {
  if (EndpointView* endpoint = FindMutableEndpoint(view, name)) {
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

double EstimateLoad(const EndpointView& endpoint, TimePoint now) {
  return endpoint.own_in_flight + EstimateOtherLoad(endpoint, now);
}

double LoadUncertainty(const EndpointView& endpoint, TimePoint now) {
  const double remaining_share = RemainingShareOfReport(endpoint, now);
  return std::sqrt(EstimateOtherLoad(endpoint, now) *
                   (1 - remaining_share * remaining_share));
}

double EstimateFreeSlots(const EndpointView& endpoint, TimePoint now) {
  const int own_grant = now < endpoint.grant_expiry ? endpoint.granted : 0;
  // A grant issued after the report is not in the reported number, so the
  // difference may be negative.
  const int others = std::max(0, endpoint.report.granted - own_grant);
  return std::max<double>(
      own_grant, endpoint.report.limit - EstimateLoad(endpoint, now) - others);
}

bool HasProbableSlot(const EndpointView& endpoint, TimePoint now) {
  if (now < endpoint.grant_expiry && endpoint.granted > 0) {
    return true;
  }
  if (endpoint.own_in_flight >= endpoint.report.limit) {
    return false;
  }
  if (endpoint.freed_slots > 0) {
    return true;
  }
  const double slot_ms = SlotReleaseIntervalMs(endpoint);
  if (endpoint.full_refusals > 0) {
    const int doublings =
        std::min(endpoint.full_refusals - 1, kMaxBackoffDoublings);
    return ToMilliseconds(now - endpoint.last_full_refusal) >=
           std::ldexp(slot_ms, doublings);
  }
  const double free = EstimateFreeSlots(endpoint, now);
  return free >= 0.5 ||
         ToMilliseconds(now - endpoint.reported_at) >= slot_ms * (1.5 - free);
}

bool IsEligible(const RoutingView& view, const EndpointView& endpoint) {
  if (!endpoint.reported || !endpoint.report.takes_work) {
    return false;
  }
  const auto data_centre = view.data_centres.find(endpoint.data_centre);
  return data_centre == view.data_centres.end() || !data_centre->second.out;
}

}  // namespace toucanhollow
