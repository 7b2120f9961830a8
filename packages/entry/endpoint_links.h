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
#include "routing/choose_endpoint.h"
#include "routing/routing_view.h"
#include "session/dialer.h"
#include "session/process_context.h"
#include "wire/message.h"

namespace toucanhollow {

// One run of one agent, as a dispatch is bound to it.
struct AgentRun {
  EndpointName endpoint;
  Incarnation incarnation;

  bool operator==(const AgentRun&) const = default;
};

struct EndpointLinksEvents {
  // Messages about dispatches.
  std::function<void(const AgentRun& agent, Message message)> message;
  // The link is gone; no message of this run comes any more.
  std::function<void(const AgentRun& agent)> lost;
  // An endpoint may take more than before.
  std::function<void()> capacity;
};

class EndpointLinks {
 public:
  EndpointLinks(ProcessContext& context,
                SessionSelf self,
                EndpointLinksEvents events);
  ~EndpointLinks();

  // Links to exactly these agents.
  void SetAddresses(const std::vector<Address>& addresses);

  bool Serves(const ServiceName& service) const;
  // Fails with kNoEndpointAvailable, kDataCentreOut or, if every candidate is
  // full, kEndpointFull.
  Result<AgentRun> Choose(const ServiceName& service,
                          const RoutingRequest& request);
  // False if the message was certainly not sent.
  bool Send(const AgentRun& agent, const Message& message);
  void NoteEnded(const ServiceName& service, const EndpointName& endpoint);
  void NoteFull(const ServiceName& service, const EndpointName& endpoint);
  void SendHeartbeats();

 private:
  struct Peer;
  void OnUp(Peer& peer, const Hello& hello);
  void OnMessage(Peer& peer, Message message);
  void OnHeartbeat(Peer& peer, const Heartbeat& heartbeat);
  void OnDown(Peer& peer, const Failure& reason);
  void OnTick();

  ProcessContext& context;
  SessionSelf self;
  EndpointLinksEvents events;
  std::map<Address, std::unique_ptr<Peer>> peers;
  std::map<EndpointName, Peer*> by_endpoint;
  std::map<ServiceName, RoutingView> views;
  RoutingParameters parameters;
  std::unique_ptr<Timer> tick;
};

}  // namespace toucanhollow

#endif  // ENTRY_ENDPOINT_LINKS_H_
