// PlanLinks: the links that an entry host holds, few enough for the control
// traffic that one node may cause.
#ifndef MEMBERSHIP_PLAN_LINKS_H_
#define MEMBERSHIP_PLAN_LINKS_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/name.h"

namespace toucanhollow {

struct LinkParameters {
  // A heartbeat of about 100 bytes with TCP/IP overhead each way on so many
  // links at 1 s stays under 6 KB/s.
  int endpoint_links = 24;
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
  // Alive members; order does not matter.
  std::vector<LinkEndpoint> endpoints;
  std::vector<LinkEntryHost> entry_hosts;
  // Region of each data centre. One without a region is in a region of its
  // own.
  std::map<DataCentreName, std::string> regions;
  // Their endpoints take no new work, so no link is spent on them.
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

// The plan of `self`, which is one of the view's entry hosts. Every host with
// the same view gives each endpoint of its data centre at least one holder,
// as long as the links suffice. Links that the own data centre leaves over go
// to endpoints elsewhere in the region, then anywhere, so that a small fleet
// is fully linked and a host in a data centre that is out can still route.
// Costs endpoints times entry hosts of one data centre; to be called on
// changes of the view and not for each request.
LinkPlan PlanLinks(const LinkView& view, const LinkEntryHost& self);

}  // namespace toucanhollow

#endif  // MEMBERSHIP_PLAN_LINKS_H_
