#include "membership/plan_links.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

#include "base/hash.h"

namespace toucanhollow {
namespace {

struct Candidate {
  const LinkEndpoint* endpoint = nullptr;
  // 0 in the same data centre, 1 in the same region, 2 elsewhere. Lower values
  // are chosen first.
  int distance = 0;
  bool designated = false;
  // Position among the candidates of the same service and distance. Sorting by
  // it gives each service a first link before any service gets a second.
  int rank = 0;
  std::uint64_t score = 0;
};

std::string RegionOf(const LinkView& view, const DataCentreName& name) {
  const auto found = view.regions.find(name);
  return found == view.regions.end() ? "data centre " + name.value
                                     : found->second;
}

int DistanceOf(const LinkView& view,
               const LinkEntryHost& self,
               const DataCentreName& data_centre) {
  if (data_centre == self.data_centre) {
    return 0;
  }
  return RegionOf(view, data_centre) == RegionOf(view, self.data_centre) ? 1
                                                                         : 2;
}

// True if `self` is the entry host of the data centre that must hold a link to
// the endpoint (the one with the highest rendezvous score), so that no endpoint
// is left without a link. `neighbours` are the other entry hosts of the data
// centre.
bool IsDesignatedHolder(const std::vector<const LinkEntryHost*>& neighbours,
                        const LinkEntryHost& self,
                        const LinkEndpoint& endpoint) {
  const std::uint64_t own_score =
      RendezvousScore(endpoint.agent.value, self.name.value);
  return std::ranges::none_of(neighbours, [&](const LinkEntryHost* host) {
    return RendezvousScore(endpoint.agent.value, host->name.value) > own_score;
  });
}

std::vector<ProcessName> PlanEndpoints(const LinkView& view,
                                       const LinkEntryHost& self) {
  std::vector<const LinkEntryHost*> neighbours;
  for (const LinkEntryHost& host : view.entry_hosts) {
    if (host.data_centre == self.data_centre && host.name != self.name) {
      neighbours.push_back(&host);
    }
  }
  std::vector<Candidate> candidates;
  for (const LinkEndpoint& endpoint : view.endpoints) {
    if (view.data_centres_out.contains(endpoint.data_centre) ||
        (!view.services.empty() && !view.services.contains(endpoint.service))) {
      continue;
    }
    Candidate candidate;
    candidate.endpoint = &endpoint;
    candidate.distance = DistanceOf(view, self, endpoint.data_centre);
    candidate.designated = candidate.distance == 0 &&
                           IsDesignatedHolder(neighbours, self, endpoint);
    candidate.score = RendezvousScore(self.name.value, endpoint.agent.value);
    candidates.push_back(candidate);
  }
  std::ranges::sort(candidates, [](const Candidate& a, const Candidate& b) {
    return std::tuple(a.distance, !a.designated, b.score, a.endpoint->agent) <
           std::tuple(b.distance, !b.designated, a.score, b.endpoint->agent);
  });
  std::map<std::pair<int, ServiceName>, int> service_counts;
  for (Candidate& candidate : candidates) {
    candidate.rank =
        service_counts[{candidate.distance, candidate.endpoint->service}]++;
  }
  std::ranges::stable_sort(
      candidates, [](const Candidate& a, const Candidate& b) {
        return std::tuple(a.distance, !a.designated, a.rank) <
               std::tuple(b.distance, !b.designated, b.rank);
      });
  const auto count =
      std::min<std::size_t>(candidates.size(), view.parameters.endpoint_links);
  std::vector<ProcessName> chosen;
  for (std::size_t i = 0; i < count; ++i) {
    chosen.push_back(candidates[i].endpoint->agent);
  }
  std::ranges::sort(chosen);
  return chosen;
}

std::vector<ProcessName> PlanPeers(const LinkView& view,
                                   const LinkEntryHost& self) {
  std::map<DataCentreName, std::vector<const LinkEntryHost*>> hosts;
  for (const LinkEntryHost& host : view.entry_hosts) {
    if (host.name != self.name &&
        DistanceOf(view, self, host.data_centre) < 2) {
      hosts[host.data_centre].push_back(&host);
    }
  }
  std::vector<ProcessName> peers;
  for (auto& [data_centre, list] : hosts) {
    std::ranges::sort(list, [&](const auto* a, const auto* b) {
      return RendezvousScore(self.name.value, a->name.value) >
             RendezvousScore(self.name.value, b->name.value);
    });
    const std::size_t limit =
        data_centre == self.data_centre ? view.parameters.peer_links : 1;
    for (std::size_t i = 0; i < std::min(limit, list.size()); ++i) {
      peers.push_back(list[i]->name);
    }
  }
  std::ranges::sort(peers);
  return peers;
}

}  // namespace

LinkPlan PlanLinks(const LinkView& view, const LinkEntryHost& self) {
  return {PlanEndpoints(view, self), PlanPeers(view, self)};
}

}  // namespace toucanhollow
