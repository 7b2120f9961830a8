// PlanLinks chooses the links that an entry host holds. Their number is limited
// by the control traffic that one node may cause.
#ifndef MEMBERSHIP_PLAN_LINKS_H_
#define MEMBERSHIP_PLAN_LINKS_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/name.h"

namespace toucanhollow {

struct LinkParameters {
  // One heartbeat per second of about 100 bytes with TCP/IP overhead in each
  // direction on this many links stays below 6 KB/s.
  int endpoint_links = 24;
  // Links to entry hosts of the same data centre.
  int peer_links = 4;

  bool operator==(const LinkParameters&) const = default;
};

struct LinkEndpoint {
  ProcessName agent;
  DataCentreName data_centre;
  ServiceName service;

  bool operator==(const LinkEndpoint&) const = default;
};

struct LinkEntryHost {
  ProcessName name;
  DataCentreName data_centre;

  bool operator==(const LinkEntryHost&) const = default;
};

struct LinkView {
  LinkParameters parameters;
  // Live members, in any order.
  std::vector<LinkEndpoint> endpoints;
  std::vector<LinkEntryHost> entry_hosts;
  // Region of each data centre. A data centre without an entry forms a region
  // by itself.
  std::map<DataCentreName, std::string> regions;
  // Data centres that are out of service. Their endpoints accept no new work,
  // so no link to them is planned.
  std::set<DataCentreName> data_centres_out;
  // Services that this host routes to; empty means all.
  std::set<ServiceName> services;

  bool operator==(const LinkView&) const = default;
};

struct LinkPlan {
  // Sorted by name.
  std::vector<ProcessName> endpoints;
  std::vector<ProcessName> peers;

  bool operator==(const LinkPlan&) const = default;
};

// Returns the plan of `self`, which is one of the view's entry hosts. If all
// hosts plan from the same view, each endpoint gets a link from at least one
// entry host of its data centre, as long as there are enough links. Links that
// the host's data centre does not need go to endpoints elsewhere in the region,
// then anywhere, so that a small fleet is fully linked and a host in a data
// centre that is out of service can still route. The cost is the number of
// endpoints times the number of entry hosts in one data centre; to be called on
// changes of the view and not for each request.
LinkPlan PlanLinks(const LinkView& view, const LinkEntryHost& self);

}  // namespace toucanhollow

#endif  // MEMBERSHIP_PLAN_LINKS_H_
