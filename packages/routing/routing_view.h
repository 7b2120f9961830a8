// RoutingView is what one entry host knows about the endpoints of one model or
// service. It is advisory: the endpoint agents decide which dispatches run.
#ifndef ROUTING_ROUTING_VIEW_H_
#define ROUTING_ROUTING_VIEW_H_

#include <map>
#include <vector>

#include "base/incarnation.h"
#include "base/name.h"
#include "base/time.h"

namespace toucanhollow {

// Load of an endpoint as reported in its agent's heartbeat.
struct LoadReport {
  Incarnation incarnation;
  // Concurrency limit now, and of the warm endpoint.
  int limit = 0;
  int full_limit = 0;
  // Running and waiting requests of all senders.
  int load = 0;
  // Slots granted to any sender and not yet used.
  int granted = 0;
  // False while the endpoint is leaving, out of service or not yet ready.
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
  // Dispatches of this host that have not ended.
  int own_in_flight = 0;
  // Requests of other senders at the last report, and their exponentially
  // weighted mean over reports.
  double other_load_at_report = 0;
  double other_load_mean = 0;
  TimePoint last_sent;
  // kEndpointFull refusals since the endpoint was last known to have a free
  // slot, and the send time of the last dispatch refused with this code.
  int full_refusals = 0;
  TimePoint last_full_refusal;
  // Refused dispatches whose end is not yet recorded.
  int refused_in_flight = 0;
  // Slots freed by answered dispatches of this host and not used again by it.
  int freed_slots = 0;
  // Slots granted to this host until grant_expiry by its own clock.
  int granted = 0;
  TimePoint grant_expiry;
  // The link to the agent is lost or its heartbeats are late.
  bool suspected = false;

  bool operator==(const EndpointView&) const = default;
};

struct DataCentreView {
  Duration one_way_delay{0};
  // Taken out of service.
  bool out = false;

  bool operator==(const DataCentreView&) const = default;
};

struct RoutingView {
  // Sorted by name.
  std::vector<EndpointView> endpoints;
  std::map<DataCentreName, DataCentreView> data_centres;

  bool operator==(const RoutingView&) const = default;
};

// Returns the index of an endpoint in the view, or -1.
int FindEndpoint(const RoutingView& view, const EndpointName& name);

// The updates take the view by move because it is large and each update changes
// one endpoint. An update for an endpoint that is not in the view is ignored.
RoutingView AddEndpoint(RoutingView&& view,
                        const EndpointName& name,
                        const DataCentreName& data_centre);
RoutingView RemoveEndpoint(RoutingView&& view, const EndpointName& name);

// Applies a heartbeat's load report. A report of an earlier incarnation is
// ignored. A report of a new incarnation ends all dispatches of this host to
// the old one and its grant.
RoutingView ApplyLoadReport(RoutingView&& view,
                            const EndpointName& name,
                            const LoadReport& report,
                            TimePoint now);
RoutingView ApplyGrant(RoutingView&& view,
                       const EndpointName& name,
                       int count,
                       Duration lifetime,
                       TimePoint now);
// RecordDispatchSent is called when a dispatch is sent, RecordDispatchEnded
// when it is answered, refused or abandoned.
RoutingView RecordDispatchSent(RoutingView&& view,
                               const EndpointName& name,
                               TimePoint now);
RoutingView RecordDispatchEnded(RoutingView&& view, const EndpointName& name);

// Called after a refusal with kEndpointFull, before RecordDispatchEnded for
// that dispatch. The endpoint gets no dispatch until it has probably freed a
// slot; each further refusal doubles this time (exponential backoff).
RoutingView RecordFullRefusal(RoutingView&& view, const EndpointName& name);

RoutingView SetSuspected(RoutingView&& view,
                         const EndpointName& name,
                         bool suspected);
RoutingView SetDataCentreView(RoutingView&& view,
                              const DataCentreName& name,
                              const DataCentreView& data_centre);

// Expected number of requests at the endpoint: the dispatches of this host, and
// those of other senders by the last report. The latter estimate moves towards
// the mean over reports as the report ages, because the reported requests end
// within about one service time.
double EstimateLoad(const EndpointView& endpoint, TimePoint now);

// Standard deviation of EstimateLoad, in requests, due to the age of the
// report.
double LoadUncertainty(const EndpointView& endpoint, TimePoint now);

// Number of slots that are probably free for this host.
double EstimateFreeSlots(const EndpointView& endpoint, TimePoint now);

// True if a dispatch sent now will probably get a slot: a slot is expected to
// be free, or the last report or refusal is older than the time in which the
// endpoint frees one. A wrong estimate costs one refusal.
bool HasProbableSlot(const EndpointView& endpoint, TimePoint now);

// True if new work may be sent to the endpoint: it has reported, it accepts
// work and its data centre is in service.
bool IsEligible(const RoutingView& view, const EndpointView& endpoint);

}  // namespace toucanhollow

#endif  // ROUTING_ROUTING_VIEW_H_
