// The entry host's links to endpoint agents, and the routing state built from
// their heartbeats.
#ifndef ENTRY_ENDPOINT_LINKS_H_
#define ENTRY_ENDPOINT_LINKS_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "base/address.h"
#include "base/name.h"
#include "base/result.h"
#include "config/config_view.h"
#include "entry/agent_incarnation.h"
#include "membership/membership_state.h"
#include "routing/choose_endpoint.h"
#include "routing/routing_view.h"
#include "session/dialer.h"
#include "session/process_context.h"
#include "wire/message.h"

namespace toucanhollow {

struct EndpointLinksEvents {
  // A message about a dispatch or about the engine's cache.
  std::function<void(const AgentIncarnation& agent, Message message)> message;
  // The link closed; no further message of this incarnation is delivered.
  std::function<void(const AgentIncarnation& agent)> link_lost;
  // Endpoints may have more free slots than before.
  std::function<void()> capacity_changed;
  // A message that concerns the configuration: a heartbeat, snapshot request or
  // snapshot. `reply` sends an answer over the same link.
  std::function<void(const Message& message,
                     const std::function<void(const Message&)>& reply)>
      config_message;
};

// The agent that routing chose for one attempt.
struct ChosenAgent {
  AgentIncarnation agent;
  ServiceName service;
  // Estimated cost in milliseconds; lower is better.
  double score_ms = 0;
};

class EndpointLinks {
 public:
  EndpointLinks(ProcessContext& context,
                LocalMessages self,
                EndpointLinksEvents events);
  ~EndpointLinks();

  // Opens and retires links to match the configuration in force.
  // `entry_hosts` are the live ones, including this one; the links are divided
  // among them.
  void ApplyConfig(const ConfigView& view,
                   const std::vector<Hello>& entry_hosts);

  // Returns the best endpoint of all the services. Fails with
  // kNoEndpointAvailable, kDataCentreOut or, if every candidate is full,
  // kEndpointFull.
  Result<ChosenAgent> Choose(const std::vector<ServiceName>& services,
                             const RoutingRequest& request);
  // Returns the named endpoint if it has a free slot. Fails with
  // kNoEndpointAvailable or kEndpointFull.
  Result<ChosenAgent> ChooseNamed(const ServiceName& service,
                                  const EndpointName& endpoint);
  // Lists the endpoints of the service that can receive work, including
  // suspected ones.
  std::vector<EndpointName> ListEligibleEndpoints(
      const ServiceName& service) const;
  // Returns the mean time from start to completion over the endpoints; zero if
  // unknown.
  Duration MeanServiceTime(const std::vector<ServiceName>& services) const;

  // Returns false only if the message was certainly not sent.
  bool Send(const AgentIncarnation& agent, const Message& message);
  // To be called exactly once for each dispatch sent, when it has ended.
  void RecordDispatchEnded(const AgentIncarnation& agent);
  // Records that the agent refused a dispatch because the endpoint was full.
  void RecordFullRefusal(const AgentIncarnation& agent);
  void SendHeartbeats();
  std::size_t CountOpenLinks() const;

 private:
  struct Peer;
  void AddPeer(const EndpointName& endpoint,
               const ConfiguredEndpoint& configured);
  void UpdateRetiringPeers(const std::vector<ProcessName>& planned);
  void OnLinkUp(Peer& peer, const Hello& hello);
  void OnMessage(Peer& peer, Message message);
  void OnHeartbeat(Peer& peer, const Heartbeat& heartbeat);
  void OnLinkDown(Peer& peer, const Failure& reason);
  void OnTick();
  void UpdateSuspicions();
  // The routing view of the peer's service.
  RoutingView& FindOrAddView(const Peer& peer);

  ProcessContext& context;
  LocalMessages self;
  EndpointLinksEvents events;
  std::map<EndpointName, std::unique_ptr<Peer>> peers;
  std::map<ServiceName, RoutingView> views;
  MembershipState membership;
  RoutingParameters parameters;
  std::unique_ptr<Timer> tick_timer;
};

}  // namespace toucanhollow

#endif  // ENTRY_ENDPOINT_LINKS_H_
