#include <algorithm>
#include <map>

#include "bench/measure.h"
#include "bench/measure_parts.h"
#include "membership/membership_state.h"
#include "membership/plan_links.h"

namespace toucanhollow {
namespace {

constexpr int kTargetEntryHosts = 410;
constexpr int kTargetEndpoints = 1100;
constexpr int kDataCentres = 11;
constexpr int kRegions = 5;
constexpr int kServices = 17;

// Makes the links' view of the target fleet, scaled to `percent`.
LinkView MakeView(int percent) {
  LinkView view;
  const auto centre = [](int i) {
    return DataCentreName{"centre-" + std::to_string(i % kDataCentres)};
  };
  for (int i = 0; i < kDataCentres; ++i) {
    view.regions[centre(i)] = "region-" + std::to_string(i % kRegions);
  }
  for (int i = 0; i < kTargetEndpoints * percent / 100; ++i) {
    view.endpoints.push_back({{"agent-" + std::to_string(i)},
                              centre(i),
                              {"group-" + std::to_string(i % kServices)}});
  }
  for (int i = 0; i < kTargetEntryHosts * percent / 100; ++i) {
    view.entry_hosts.push_back({{"entry-" + std::to_string(i)}, centre(i)});
  }
  return view;
}

void MeasureLinkPlan(int percent) {
  const LinkView view = MakeView(percent);
  const auto hosts = static_cast<std::int64_t>(view.endpoints.size() +
                                               view.entry_hosts.size());
  const double us = MeasureCallUs([&](std::int64_t call) {
    const auto self = static_cast<std::size_t>(call) % view.entry_hosts.size();
    const LinkPlan plan = PlanLinks(view, view.entry_hosts[self]);
    if (plan.peers.empty()) {
      std::abort();
    }
  });
  ReportMeasurement("plan_links_us", hosts, us, "us");
  std::map<ProcessName, int> link_counts;
  std::size_t max_links = 0;
  for (const LinkEntryHost& self : view.entry_hosts) {
    const LinkPlan plan = PlanLinks(view, self);
    max_links = std::max(max_links, plan.endpoints.size() + plan.peers.size());
    for (const ProcessName& agent : plan.endpoints) {
      ++link_counts[agent];
    }
    for (const ProcessName& peer : plan.peers) {
      ++link_counts[peer];
    }
  }
  int max_endpoint_links = 0;
  for (const LinkEndpoint& endpoint : view.endpoints) {
    max_endpoint_links =
        std::max(max_endpoint_links, link_counts[endpoint.agent]);
  }
  int max_peer_links = 0;
  for (const LinkEntryHost& host : view.entry_hosts) {
    max_peer_links = std::max(max_peer_links, link_counts[host.name]);
  }
  ReportMeasurement("links_out_of_entry_host_max", hosts,
                    static_cast<double>(max_links), "links");
  ReportMeasurement("links_into_entry_host_max", hosts, max_peer_links,
                    "links");
  ReportMeasurement("links_into_agent_max", hosts, max_endpoint_links, "links");
  ReportMeasurement("endpoints_without_link", hosts,
                    static_cast<double>(std::ranges::count_if(
                        view.endpoints,
                        [&](const LinkEndpoint& endpoint) {
                          return link_counts[endpoint.agent] == 0;
                        })),
                    "endpoints");
}

void MeasureMembership(int members) {
  MembershipState state;
  TimePoint now{Seconds(1)};
  const std::int64_t before = AllocatedHeapBytes();
  const auto heartbeat = [&](std::int64_t number) {
    MemberHeartbeat heartbeat_message;
    heartbeat_message.sender = {"agent-" + std::to_string(number)};
    heartbeat_message.incarnation = Incarnation{1};
    return heartbeat_message;
  };
  for (int i = 0; i < members; ++i) {
    state = OnHeartbeat(std::move(state), heartbeat(i), now).state;
  }
  ReportMeasurement("membership_bytes", members,
                    static_cast<double>(AllocatedHeapBytes() - before),
                    "bytes");
  const double us = MeasureCallUs([&](std::int64_t call) {
    now += Duration(100);
    state = OnHeartbeat(std::move(state), heartbeat(call % members), now).state;
  });
  ReportMeasurement("membership_heartbeat_us", members, us, "us");
}

}  // namespace

void MeasureLinks() {
  for (const int percent : {10, 25, 50, 75, 100}) {
    MeasureLinkPlan(percent);
  }
  for (const int members : {64, 256, 512, 1024, 2048}) {
    MeasureMembership(members);
  }
}

}  // namespace toucanhollow
