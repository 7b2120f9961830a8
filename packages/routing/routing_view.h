// RoutingView: what one entry host knows about the endpoints of one model or
// service. Advisory; the agents decide what runs.
#ifndef ROUTING_ROUTING_VIEW_H_
#define ROUTING_ROUTING_VIEW_H_

#include <map>
#include <vector>

#include "base/incarnation.h"
#include "base/name.h"
#include "base/time.h"

namespace toucanhollow {

// What an agent's heartbeat says about its endpoint.
struct LoadReport {
  Incarnation incarnation;
  int limit = 0;
  int full_limit = 0;
  // Running and waiting requests of all senders.
  int load = 0;
  // Slots granted to any sender and not yet used.
  int granted = 0;
  // False while leaving, out of service or not yet ready.
  bool takes_work = false;
  // Mean step time; zero for plain services.
  Duration step{0};
  // Mean time from start to completion; zero if unknown.
  Duration mean_service{0};

  bool operator==(const LoadReport&) const = default;
};

struct EndpointView {
  EndpointName name;
  DataCentreName data_centre;
  LoadReport report;
  TimePoint reported_at;
  bool reported = false;
  // Own dispatches that are not ended.
  int own_in_flight = 0;
  // Requests of other senders at the report, and their mean over reports.
  double other_load_at_report = 0;
  double other_load_mean = 0;
  TimePoint last_sent;
  // Refusals as full since the endpoint was last known to have a free slot,
  // and the time of the last dispatch that was refused so.
  int full_refusals = 0;
  TimePoint last_full_refusal;
  // Refused dispatches whose end is not yet noted.
  int refused_in_flight = 0;
  // Slots that own answered dispatches freed and that are not yet used again.
  int freed_slots = 0;
  // Own grant, valid until its expiry by this host's clock.
  int granted = 0;
  TimePoint grant_expiry;
  // The link is lost or its heartbeats are late.
  bool suspected = false;

  bool operator==(const EndpointView&) const = default;
};

struct DataCentreView {
  Duration one_way_delay{0};
  bool out = false;

  bool operator==(const DataCentreView&) const = default;
};

struct RoutingView {
  // Sorted by name.
  std::vector<EndpointView> endpoints;
  std::map<DataCentreName, DataCentreView> data_centres;

  bool operator==(const RoutingView&) const = default;
};

// Index of an endpoint in the view, or -1.
int FindEndpoint(const RoutingView& view, const EndpointName& name);

// The updates take the view by move, because it is large and each changes one
// endpoint. An update for an endpoint that is not in the view is ignored.
RoutingView AddEndpoint(RoutingView&& view,
                        const EndpointName& name,
                        const DataCentreName& data_centre);
RoutingView RemoveEndpoint(RoutingView&& view, const EndpointName& name);

// Applies a heartbeat. One of an earlier incarnation is ignored; one of a new
// incarnation ends all own dispatches and grants of the old one.
RoutingView ApplyLoadReport(RoutingView&& view,
                            const EndpointName& name,
                            const LoadReport& report,
                            TimePoint now);
RoutingView ApplyGrant(RoutingView&& view,
                       const EndpointName& name,
                       int count,
                       Duration lifetime,
                       TimePoint now);
// To be called when a dispatch is sent, and when it is answered, refused or
// given up.
RoutingView RecordDispatchSent(RoutingView&& view,
                               const EndpointName& name,
                               TimePoint now);
RoutingView RecordDispatchEnded(RoutingView&& view, const EndpointName& name);

// After the refusal kEndpointFull, and before RecordDispatchEnded of that
// dispatch. The endpoint gets nothing until a slot has probably been freed,
// twice as long after each further refusal.
RoutingView RecordFullRefusal(RoutingView&& view, const EndpointName& name);

RoutingView SetSuspected(RoutingView&& view,
                         const EndpointName& name,
                         bool suspected);
RoutingView SetDataCentreView(RoutingView&& view,
                              const DataCentreName& name,
                              const DataCentreView& data_centre);

// Expected requests at the endpoint: own dispatches, and those of others by
// the last report. Those of others move towards their mean as the report ages,
// because after one service time none of the reported requests is left.
double EstimateLoad(const EndpointView& endpoint, TimePoint now);

// Standard deviation of the estimate because of the age of the report.
double LoadUncertainty(const EndpointView& endpoint, TimePoint now);

// Slots that this host may expect to be free for it.
double EstimateFreeSlots(const EndpointView& endpoint, TimePoint now);

// True if a dispatch has a fair chance of a slot: one is expected to be free,
// or what is known is older than the time in which the endpoint frees one. A
// wrong guess costs one refusal.
bool HasProbableSlot(const EndpointView& endpoint, TimePoint now);

// True if new work may be sent: reported, takes work, and its data centre is
// in service.
bool IsEligible(const RoutingView& view, const EndpointView& endpoint);

}  // namespace toucanhollow

#endif  // ROUTING_ROUTING_VIEW_H_
