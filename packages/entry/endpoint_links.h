// The entry host's links to endpoint agents, and what it knows of their load.
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
#include "entry/agent_run.h"
#include "membership/membership_state.h"
#include "routing/choose_endpoint.h"
#include "routing/routing_view.h"
#include "session/dialer.h"
#include "session/process_context.h"
#include "wire/message.h"

namespace toucanhollow {

struct EndpointLinksEvents {
  // Messages about dispatches.
  std::function<void(const AgentRun& agent, Message message)> message;
  // The link is gone; no message of this run comes any more.
  std::function<void(const AgentRun& agent)> lost;
  // Endpoints may take more than before.
  std::function<void()> capacity;
  // Messages about the configuration, with a way to answer.
  std::function<void(const Message& message,
                     const std::function<void(const Message&)>& reply)>
      config;
};

// What routing chose for one attempt.
struct ChosenAgent {
  AgentRun run;
  ServiceName service;
  double score_ms = 0;
};

class EndpointLinks {
 public:
  EndpointLinks(ProcessContext& context,
                LocalMessages self,
                EndpointLinksEvents events);
  ~EndpointLinks();

  // Takes the endpoints and data centres in force. `entry_hosts` are those
  // that are alive, this one among them; they share the links.
  void Apply(const ConfigView& view, const std::vector<Hello>& entry_hosts);

  // The best endpoint over the services. Fails with kNoEndpointAvailable,
  // kDataCentreOut or, if every candidate is full, kEndpointFull.
  Result<ChosenAgent> Choose(const std::vector<ServiceName>& services,
                             const RoutingRequest& request);
  // One endpoint by name. Fails with kNoEndpointAvailable or kEndpointFull.
  Result<ChosenAgent> ChooseNamed(const ServiceName& service,
                                  const EndpointName& endpoint);
  // Endpoints of the service that may receive work, suspected ones included.
  std::vector<EndpointName> Eligible(const ServiceName& service) const;
  // Mean time from start to completion over the endpoints; zero if unknown.
  Duration MeanService(const std::vector<ServiceName>& services) const;

  // False if the message was certainly not sent.
  bool Send(const AgentRun& agent, const Message& message);
  // To be called once for each dispatch sent.
  void NoteEnded(const AgentRun& agent);
  void NoteFull(const AgentRun& agent);
  void SendHeartbeats();
  std::size_t OpenLinks() const;

 private:
  struct Peer;
  void AddPeer(const EndpointName& endpoint,
               const ConfiguredEndpoint& configured);
  void RetirePeers(const std::vector<ProcessName>& kept);
  void OnUp(Peer& peer, const Hello& hello);
  void OnMessage(Peer& peer, Message message);
  void OnHeartbeat(Peer& peer, const Heartbeat& heartbeat);
  void OnDown(Peer& peer, const Failure& reason);
  void OnTick();
  void UpdateSuspicions();
  RoutingView& ViewOf(const Peer& peer);

  ProcessContext& context;
  LocalMessages self;
  EndpointLinksEvents events;
  std::map<EndpointName, std::unique_ptr<Peer>> peers;
  std::map<ServiceName, RoutingView> views;
  MembershipState membership;
  RoutingParameters parameters;
  std::unique_ptr<Timer> tick;
};

}  // namespace toucanhollow

#endif  // ENTRY_ENDPOINT_LINKS_H_
