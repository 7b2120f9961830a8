#include "routing/routing_view.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace toucanhollow {
namespace {

constexpr double kReportWeight = 0.25;
// Used while an endpoint has not reported its mean service time.
constexpr double kDefaultServiceMs = 1000;
// A host still probes a full endpoint after 32 times the time of one slot.
constexpr int kMaxBackoffDoublings = 5;

double ServiceMs(const EndpointView& endpoint) {
  return endpoint.report.mean_service > Duration(0)
             ? ToMilliseconds(endpoint.report.mean_service)
             : kDefaultServiceMs;
}

// Time in which a full endpoint frees one slot.
double SlotMs(const EndpointView& endpoint) {
  return ServiceMs(endpoint) / std::max(1, endpoint.report.limit);
}

// Part of the reported requests that is still there.
double ReportedPart(const EndpointView& endpoint, TimePoint now) {
  const double age_ms =
      std::max(0.0, ToMilliseconds(now - endpoint.reported_at));
  return std::exp(-age_ms / ServiceMs(endpoint));
}

double Others(const EndpointView& endpoint, TimePoint now) {
  return endpoint.other_load_mean +
         ReportedPart(endpoint, now) *
             (endpoint.other_load_at_report - endpoint.other_load_mean);
}

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
    endpoint->full_refusals = 0;
    endpoint->refused_in_flight = 0;
    endpoint->freed_slots = 0;
    endpoint->reported = false;
  }
  endpoint->other_load_at_report =
      std::max(0, report.load - endpoint->own_in_flight);
  endpoint->other_load_mean =
      endpoint->reported ? endpoint->other_load_mean +
                               kReportWeight * (endpoint->other_load_at_report -
                                                endpoint->other_load_mean)
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
  if (EndpointView* endpoint = Find(view, name)) {
    endpoint->granted = count;
    endpoint->grant_expiry = now + lifetime;
  }
  return std::move(view);
}

RoutingView RecordDispatchSent(RoutingView&& view,
                               const EndpointName& name,
                               TimePoint now) {
  if (EndpointView* endpoint = Find(view, name)) {
    ++endpoint->own_in_flight;
    endpoint->last_sent = now;
    endpoint->freed_slots = std::max(0, endpoint->freed_slots - 1);
    if (endpoint->granted > 0 && now < endpoint->grant_expiry) {
      --endpoint->granted;
      // The slot was part of the reported grants and is now in use.
      endpoint->report.granted = std::max(0, endpoint->report.granted - 1);
    }
  }
  return std::move(view);
}

RoutingView RecordDispatchEnded(RoutingView&& view, const EndpointName& name) {
  EndpointView* endpoint = Find(view, name);
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
  if (EndpointView* endpoint = Find(view, name)) {
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

double EstimateLoad(const EndpointView& endpoint, TimePoint now) {
  return endpoint.own_in_flight + Others(endpoint, now);
}

double LoadUncertainty(const EndpointView& endpoint, TimePoint now) {
  const double part = ReportedPart(endpoint, now);
  return std::sqrt(Others(endpoint, now) * (1 - part * part));
}

double EstimateFreeSlots(const EndpointView& endpoint, TimePoint now) {
  const int own_grant = now < endpoint.grant_expiry ? endpoint.granted : 0;
  // A grant younger than the report is not among the reported grants.
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
  const double slot_ms = SlotMs(endpoint);
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
