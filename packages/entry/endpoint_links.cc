#include "entry/endpoint_links.h"

#include <algorithm>
#include <utility>

#include "log_text/log.h"

namespace toucanhollow {
namespace {

// An agent that sends a heartbeat every second and misses two is suspected;
// work then goes elsewhere within the 3 s of section 1.1.
constexpr Duration kSuspectAfter = Milliseconds(2200);
constexpr Duration kSuspicionCheck = Milliseconds(200);

}  // namespace

struct EndpointLinks::Peer {
  std::unique_ptr<Dialer> dialer;
  EndpointName endpoint;
  ServiceName service;
  Incarnation incarnation;
  TimePoint last_heartbeat;
  bool up = false;
  bool suspected = false;
};

EndpointLinks::EndpointLinks(ProcessContext& process_context,
                             SessionSelf session_self,
                             EndpointLinksEvents links_events)
    : context(process_context),
      self(std::move(session_self)),
      events(std::move(links_events)) {
  this->tick =
      std::make_unique<Timer>(this->context.loop, kSuspicionCheck,
                              kSuspicionCheck, [this] { this->OnTick(); });
}

EndpointLinks::~EndpointLinks() = default;

void EndpointLinks::SetAddresses(const std::vector<Address>& addresses) {
  for (auto peer = this->peers.begin(); peer != this->peers.end();) {
    if (std::ranges::find(addresses, peer->first) != addresses.end()) {
      ++peer;
      continue;
    }
    if (peer->second->up) {
      this->OnDown(*peer->second, MakeFailure(ResultCode::kLinkClosed,
                                              "no longer among the endpoints"));
    }
    peer = this->peers.erase(peer);
  }
  for (const Address& address : addresses) {
    if (this->peers.contains(address)) {
      continue;
    }
    Peer* peer = this->peers.emplace(address, std::make_unique<Peer>())
                     .first->second.get();
    peer->dialer = std::make_unique<Dialer>(
        this->context, address, this->self,
        DialerEvents{
            [this, peer](const Hello& hello) { this->OnUp(*peer, hello); },
            [this, peer](Message message) {
              this->OnMessage(*peer, std::move(message));
            },
            [this, peer](const Failure& reason) {
              this->OnDown(*peer, reason);
            }});
  }
}

void EndpointLinks::OnUp(Peer& peer, const Hello& hello) {
  if (hello.role != "endpoint") {
    return;
  }
  peer.endpoint = hello.endpoint;
  peer.service = hello.service;
  peer.incarnation = hello.incarnation;
  peer.last_heartbeat = EventLoop::Now();
  peer.up = true;
  peer.suspected = false;
  this->by_endpoint[peer.endpoint] = &peer;
  RoutingView& view = this->views[peer.service];
  view = AddEndpoint(std::move(view), peer.endpoint, hello.data_centre);
  view = SetSuspected(std::move(view), peer.endpoint, false);
  Event event;
  event.kind = EventKind::kLinkUp;
  event.endpoint = peer.endpoint;
  event.subject = hello.process.value;
  this->context.Record(std::move(event));
}

void EndpointLinks::OnHeartbeat(Peer& peer, const Heartbeat& heartbeat) {
  const TimePoint now = EventLoop::Now();
  peer.last_heartbeat = now;
  RoutingView& view = this->views[peer.service];
  if (peer.suspected) {
    peer.suspected = false;
    view = SetSuspected(std::move(view), peer.endpoint, false);
    Event event;
    event.kind = EventKind::kCleared;
    event.endpoint = peer.endpoint;
    this->context.Record(std::move(event));
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
  view = ApplyLoadReport(std::move(view), peer.endpoint, report, now);
  this->events.capacity();
}

void EndpointLinks::OnMessage(Peer& peer, Message message) {
  if (!peer.up) {
    return;
  }
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    this->OnHeartbeat(peer, *heartbeat);
  } else if (const auto* grant = std::get_if<Grant>(&message)) {
    RoutingView& view = this->views[peer.service];
    view = ApplyGrant(std::move(view), peer.endpoint, grant->count,
                      grant->valid_for, EventLoop::Now());
    this->events.capacity();
  } else {
    this->events.message(AgentRun{peer.endpoint, peer.incarnation},
                         std::move(message));
  }
}

void EndpointLinks::OnDown(Peer& peer, const Failure& reason) {
  if (!std::exchange(peer.up, false)) {
    return;
  }
  const AgentRun agent{peer.endpoint, peer.incarnation};
  Event event;
  event.kind = EventKind::kLinkDown;
  event.endpoint = peer.endpoint;
  event.code = static_cast<int>(reason.code);
  event.detail = reason.detail;
  this->context.Record(std::move(event));
  // A replacement of the agent may have a link under the same name already.
  const auto named = this->by_endpoint.find(peer.endpoint);
  if (named != this->by_endpoint.end() && named->second == &peer) {
    this->by_endpoint.erase(named);
    RoutingView& view = this->views[peer.service];
    view = RemoveEndpoint(std::move(view), peer.endpoint);
  }
  this->events.lost(agent);
}

void EndpointLinks::OnTick() {
  const TimePoint now = EventLoop::Now();
  for (auto& [address, peer] : this->peers) {
    if (peer->up && !peer->suspected &&
        now - peer->last_heartbeat > kSuspectAfter) {
      peer->suspected = true;
      RoutingView& view = this->views[peer->service];
      view = SetSuspected(std::move(view), peer->endpoint, true);
      Event event;
      event.kind = EventKind::kSuspected;
      event.endpoint = peer->endpoint;
      this->context.Record(std::move(event));
    }
  }
}

bool EndpointLinks::Serves(const ServiceName& service) const {
  return this->views.contains(service);
}

Result<AgentRun> EndpointLinks::Choose(const ServiceName& service,
                                       const RoutingRequest& request) {
  RoutingView& view = this->views[service];
  const TimePoint now = EventLoop::Now();
  const double draw =
      std::uniform_real_distribution<double>(0.0, 1.0)(this->context.random);
  const RoutingDecision decision =
      ChooseEndpoint(view, this->parameters, request, draw, now);
  if (decision.endpoint < 0) {
    return MakeFailure(decision.code,
                       "no endpoint of '" + service.value +
                           "' in service can take the request now");
  }
  const EndpointName endpoint =
      view.endpoints[static_cast<std::size_t>(decision.endpoint)].name;
  if (!decision.has_free_slot) {
    return MakeFailure(ResultCode::kEndpointFull,
                       "every endpoint of '" + service.value + "' is full");
  }
  const Peer* peer = this->by_endpoint.at(endpoint);
  return AgentRun{endpoint, peer->incarnation};
}

bool EndpointLinks::Send(const AgentRun& agent, const Message& message) {
  const auto found = this->by_endpoint.find(agent.endpoint);
  if (found == this->by_endpoint.end() ||
      found->second->incarnation != agent.incarnation ||
      !found->second->dialer->Send(message)) {
    return false;
  }
  if (std::holds_alternative<Dispatch>(message)) {
    RoutingView& view = this->views[found->second->service];
    view = NoteSent(std::move(view), agent.endpoint, EventLoop::Now());
  }
  return true;
}

void EndpointLinks::NoteEnded(const ServiceName& service,
                              const EndpointName& endpoint) {
  RoutingView& view = this->views[service];
  view = toucanhollow::NoteEnded(std::move(view), endpoint);
}

void EndpointLinks::NoteFull(const ServiceName& service,
                             const EndpointName& endpoint) {
  RoutingView& view = this->views[service];
  view = toucanhollow::NoteFull(std::move(view), endpoint);
}

void EndpointLinks::SendHeartbeats() {
  for (auto& [address, peer] : this->peers) {
    peer->dialer->SendHeartbeat();
  }
}

}  // namespace toucanhollow
