#include "entry/endpoint_links.h"

#include <algorithm>
#include <utility>

#include "membership/plan_links.h"

namespace toucanhollow {
namespace {

// Assumed delay to a data centre other than this host's. In the users' network,
// data centres of one region are just under 1 ms and about 1.5 ms apart.
constexpr Duration kRemoteDataCentreDelay = Milliseconds(1);
constexpr Duration kMembershipTickPeriod = Milliseconds(500);

ProcessName ToMemberName(const EndpointName& endpoint) {
  return ProcessName{endpoint.value};
}

}  // namespace

struct EndpointLinks::Peer {
  EndpointName endpoint;
  ServiceName service;
  DataCentreName data_centre;
  std::vector<Address> addresses;
  std::unique_ptr<Dialer> dialer;
  Incarnation incarnation;
  bool up = false;
  bool suspected = false;
  // Configured as in service and not retiring, so that routing may choose it.
  bool in_service = false;
  // Not in the current link plan; the link closes once nothing is in flight.
  bool retiring = false;
  int in_flight = 0;
};

EndpointLinks::EndpointLinks(ProcessContext& process_context,
                             LocalMessages session_self,
                             EndpointLinksEvents links_events)
    : context(process_context),
      self(std::move(session_self)),
      events(std::move(links_events)) {
  this->tick_timer = std::make_unique<Timer>(
      this->context.loop, kMembershipTickPeriod, kMembershipTickPeriod,
      [this] { this->OnTick(); });
}

EndpointLinks::~EndpointLinks() = default;

RoutingView& EndpointLinks::FindOrAddView(const Peer& peer) {
  return this->views[peer.service];
}

namespace {

LinkView MakeLinkView(const ConfigView& config,
                      const std::vector<Hello>& entry_hosts) {
  LinkView view;
  for (const auto& [name, endpoint] : config.endpoints) {
    view.endpoints.push_back({ToMemberName(name), endpoint.content.data_centre,
                              endpoint.content.service});
  }
  for (const Hello& host : entry_hosts) {
    view.entry_hosts.push_back({host.process, host.data_centre});
  }
  for (const auto& [name, data_centre] : config.data_centres) {
    view.regions[name] = data_centre.content.region;
    if (!data_centre.content.in_service) {
      view.data_centres_out.insert(name);
    }
  }
  return view;
}

}  // namespace

void EndpointLinks::ApplyConfig(const ConfigView& config,
                                const std::vector<Hello>& entry_hosts) {
  const LinkPlan plan = PlanLinks(
      MakeLinkView(config, entry_hosts),
      {this->context.settings.process, this->context.settings.data_centre});
  this->UpdateRetiringPeers(plan.endpoints);
  for (const ProcessName& name : plan.endpoints) {
    const EndpointName endpoint{name.value};
    this->AddPeer(endpoint, config.endpoints.at(endpoint));
  }
  for (auto& [service, view] : this->views) {
    for (const auto& [name, data_centre] : config.data_centres) {
      const bool is_local = name == this->context.settings.data_centre;
      view = SetDataCentreView(std::move(view), name,
                               {is_local ? Duration(0) : kRemoteDataCentreDelay,
                                !data_centre.content.in_service});
    }
  }
  for (auto& [endpoint, peer] : this->peers) {
    const auto configured = config.endpoints.find(endpoint);
    const bool in_service = configured != config.endpoints.end() &&
                            configured->second.content.in_service &&
                            !peer->retiring;
    if (std::exchange(peer->in_service, in_service) == in_service) {
      continue;
    }
    RoutingView& view = this->FindOrAddView(*peer);
    view = in_service && peer->up
               ? AddEndpoint(std::move(view), endpoint, peer->data_centre)
               : RemoveEndpoint(std::move(view), endpoint);
  }
  this->events.capacity_changed();
}

void EndpointLinks::UpdateRetiringPeers(
    const std::vector<ProcessName>& planned) {
  for (auto& [endpoint, peer] : this->peers) {
    peer->retiring =
        std::ranges::find(planned, ToMemberName(endpoint)) == planned.end();
  }
}

void EndpointLinks::AddPeer(const EndpointName& endpoint,
                            const ConfiguredEndpoint& configured) {
  const EndpointContent& content = configured.content;
  const auto found = this->peers.find(endpoint);
  if (found != this->peers.end()) {
    if (found->second->addresses == content.addresses &&
        found->second->service == content.service) {
      return;
    }
    // The endpoint's address or service changed, so the old link is replaced.
    this->OnLinkDown(*found->second, MakeFailure(ResultCode::kLinkClosed,
                                                 "the endpoint's configuration "
                                                 "changed"));
    this->peers.erase(found);
  }
  if (content.addresses.empty()) {
    return;
  }
  Peer* peer = this->peers.emplace(endpoint, std::make_unique<Peer>())
                   .first->second.get();
  peer->endpoint = endpoint;
  peer->service = content.service;
  peer->data_centre = content.data_centre;
  peer->addresses = content.addresses;
  peer->dialer = std::make_unique<Dialer>(
      this->context, content.addresses, this->self,
      DialerEvents{
          [this, peer](const Hello& hello) { this->OnLinkUp(*peer, hello); },
          [this, peer](Message message) {
            this->OnMessage(*peer, std::move(message));
          },
          [this, peer](const Failure& reason) {
            this->OnLinkDown(*peer, reason);
          }});
  // Creates the view, so that ApplyConfig can set its data centres.
  this->FindOrAddView(*peer);
}

void EndpointLinks::OnLinkUp(Peer& peer, const Hello& hello) {
  if (hello.role != "endpoint" || hello.endpoint != peer.endpoint) {
    this->context.metrics.Count("links_to_another_endpoint");
    return;
  }
  peer.incarnation = hello.incarnation;
  peer.up = true;
  peer.suspected = false;
  if (peer.in_service) {
    RoutingView& view = this->FindOrAddView(peer);
    view = AddEndpoint(std::move(view), peer.endpoint, peer.data_centre);
  }
  Event event;
  event.kind = EventKind::kLinkUp;
  event.endpoint = peer.endpoint;
  event.subject = hello.process.value;
  this->context.Record(std::move(event));
}

void EndpointLinks::OnHeartbeat(Peer& peer, const Heartbeat& heartbeat) {
  const TimePoint now = EventLoop::Now();
  MemberHeartbeat member;
  member.sender = ToMemberName(peer.endpoint);
  member.role = MemberRole::kEndpoint;
  member.data_centre = peer.data_centre;
  member.incarnation = peer.incarnation;
  member.leaving = heartbeat.leaving;
  member.config_offset = heartbeat.config_offset;
  HeartbeatDecision decision =
      toucanhollow::OnHeartbeat(std::move(this->membership), member, now);
  this->membership = std::move(decision.state);
  if (decision.recovered || peer.suspected) {
    this->UpdateSuspicions();
  }
  LoadReport report;
  report.incarnation = peer.incarnation;
  report.limit = heartbeat.limit;
  report.full_limit = heartbeat.full_limit;
  report.load = heartbeat.in_flight + heartbeat.queued;
  report.granted = heartbeat.granted;
  report.takes_work = heartbeat.takes_work && !heartbeat.leaving;
  report.step = heartbeat.step_time;
  report.mean_service = heartbeat.mean_service;
  RoutingView& view = this->FindOrAddView(peer);
  view = ApplyLoadReport(std::move(view), peer.endpoint, report, now);
  this->events.capacity_changed();
}

void EndpointLinks::OnMessage(Peer& peer, Message message) {
  if (!peer.up) {
    return;
  }
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    this->OnHeartbeat(peer, *heartbeat);
  }
  if (std::holds_alternative<Heartbeat>(message) ||
      std::holds_alternative<SnapshotRequest>(message) ||
      std::holds_alternative<Snapshot>(message)) {
    this->events.config_message(
        message, [&peer](const Message& reply) { peer.dialer->Send(reply); });
  } else if (const auto* grant = std::get_if<Grant>(&message)) {
    RoutingView& view = this->FindOrAddView(peer);
    view = ApplyGrant(std::move(view), peer.endpoint, grant->count,
                      grant->valid_for, EventLoop::Now());
    this->events.capacity_changed();
  } else {
    this->events.message(AgentIncarnation{peer.endpoint, peer.incarnation},
                         std::move(message));
  }
}

void EndpointLinks::OnLinkDown(Peer& peer, const Failure& reason) {
  if (!std::exchange(peer.up, false)) {
    return;
  }
  const AgentIncarnation agent{peer.endpoint, peer.incarnation};
  Event event;
  event.kind = EventKind::kLinkDown;
  event.endpoint = peer.endpoint;
  event.code = static_cast<int>(reason.code);
  event.detail = reason.detail;
  this->context.Record(std::move(event));
  this->membership =
      OnLinkLost(std::move(this->membership), ToMemberName(peer.endpoint));
  RoutingView& view = this->FindOrAddView(peer);
  view = RemoveEndpoint(std::move(view), peer.endpoint);
  this->events.link_lost(agent);
}

void EndpointLinks::UpdateSuspicions() {
  const std::vector<ProcessName> suspects =
      ListSuspectedMembers(this->membership, EventLoop::Now());
  for (auto& [endpoint, peer] : this->peers) {
    const bool suspected =
        peer->up &&
        std::ranges::find(suspects, ToMemberName(endpoint)) != suspects.end();
    if (std::exchange(peer->suspected, suspected) == suspected) {
      continue;
    }
    RoutingView& view = this->FindOrAddView(*peer);
    view = SetSuspected(std::move(view), endpoint, suspected);
    Event event;
    event.kind = suspected ? EventKind::kSuspected : EventKind::kCleared;
    event.endpoint = endpoint;
    this->context.Record(std::move(event));
  }
}

void EndpointLinks::OnTick() {
  this->membership =
      toucanhollow::OnTick(std::move(this->membership), EventLoop::Now());
  this->UpdateSuspicions();
  std::erase_if(this->peers, [](const auto& entry) {
    return entry.second->retiring && entry.second->in_flight == 0;
  });
}

Result<ChosenAgent> EndpointLinks::Choose(
    const std::vector<ServiceName>& services,
    const RoutingRequest& request) {
  const TimePoint now = EventLoop::Now();
  std::uniform_real_distribution<double> uniform(0.0, 1.0);
  std::optional<ChosenAgent> best;
  ResultCode code = ResultCode::kNoEndpointAvailable;
  for (const ServiceName& service : services) {
    const auto found = this->views.find(service);
    if (found == this->views.end()) {
      continue;
    }
    const RoutingView& view = found->second;
    const RoutingDecision decision = ChooseEndpoint(
        view, this->parameters, request, uniform(this->context.random), now);
    if (decision.endpoint < 0) {
      code = code == ResultCode::kEndpointFull ? code : decision.code;
    } else if (!decision.has_free_slot) {
      code = ResultCode::kEndpointFull;
    } else if (!best || decision.score_ms < best->score_ms) {
      const EndpointName& name =
          view.endpoints[static_cast<std::size_t>(decision.endpoint)].name;
      best = ChosenAgent{{name, this->peers.at(name)->incarnation},
                         service,
                         decision.score_ms};
    }
  }
  if (best) {
    return *std::move(best);
  }
  return MakeFailure(code, code == ResultCode::kEndpointFull
                               ? "every candidate endpoint is full"
                               : "no endpoint in service accepts work now");
}

Result<ChosenAgent> EndpointLinks::ChooseNamed(const ServiceName& service,
                                               const EndpointName& endpoint) {
  const auto view = this->views.find(service);
  const int index =
      view == this->views.end() ? -1 : FindEndpoint(view->second, endpoint);
  if (index < 0) {
    return MakeFailure(ResultCode::kNoEndpointAvailable,
                       "no open link to in-service endpoint " + endpoint.value);
  }
  if (EstimateFreeSlots(view->second.endpoints[static_cast<std::size_t>(index)],
                        EventLoop::Now()) <= 0) {
    return MakeFailure(ResultCode::kEndpointFull, endpoint.value + " is full");
  }
  return ChosenAgent{
      {endpoint, this->peers.at(endpoint)->incarnation}, service, 0};
}

std::vector<EndpointName> EndpointLinks::ListEligibleEndpoints(
    const ServiceName& service) const {
  std::vector<EndpointName> eligible;
  const auto found = this->views.find(service);
  if (found != this->views.end()) {
    for (const EndpointView& endpoint : found->second.endpoints) {
      if (IsEligible(found->second, endpoint)) {
        eligible.push_back(endpoint.name);
      }
    }
  }
  return eligible;
}

Duration EndpointLinks::MeanServiceTime(
    const std::vector<ServiceName>& services) const {
  Duration sum{0};
  std::int64_t count = 0;
  for (const ServiceName& service : services) {
    const auto found = this->views.find(service);
    if (found == this->views.end()) {
      continue;
    }
    for (const EndpointView& endpoint : found->second.endpoints) {
      if (endpoint.report.mean_service > Duration(0)) {
        sum += endpoint.report.mean_service;
        ++count;
      }
    }
  }
  return count == 0 ? Duration(0) : sum / count;
}

bool EndpointLinks::Send(const AgentIncarnation& agent,
                         const Message& message) {
  const auto found = this->peers.find(agent.endpoint);
  if (found == this->peers.end() || !found->second->up ||
      found->second->incarnation != agent.incarnation ||
      !found->second->dialer->Send(message)) {
    return false;
  }
  if (std::holds_alternative<Dispatch>(message)) {
    ++found->second->in_flight;
    RoutingView& view = this->FindOrAddView(*found->second);
    view =
        RecordDispatchSent(std::move(view), agent.endpoint, EventLoop::Now());
  }
  return true;
}

void EndpointLinks::RecordDispatchEnded(const AgentIncarnation& agent) {
  const auto found = this->peers.find(agent.endpoint);
  if (found == this->peers.end()) {
    return;
  }
  --found->second->in_flight;
  if (found->second->incarnation == agent.incarnation) {
    RoutingView& view = this->FindOrAddView(*found->second);
    view = toucanhollow::RecordDispatchEnded(std::move(view), agent.endpoint);
    this->events.capacity_changed();
  }
}

void EndpointLinks::RecordFullRefusal(const AgentIncarnation& agent) {
  const auto found = this->peers.find(agent.endpoint);
  if (found != this->peers.end()) {
    RoutingView& view = this->FindOrAddView(*found->second);
    view = toucanhollow::RecordFullRefusal(std::move(view), agent.endpoint);
  }
}

void EndpointLinks::SendHeartbeats() {
  for (auto& [endpoint, peer] : this->peers) {
    peer->dialer->SendHeartbeat();
  }
}

std::size_t EndpointLinks::CountOpenLinks() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      this->peers, [](const auto& entry) { return entry.second->up; }));
}

}  // namespace toucanhollow
