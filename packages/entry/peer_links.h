// Links between entry hosts: they carry configuration snapshots and show which
// entry hosts are alive.
#ifndef ENTRY_PEER_LINKS_H_
#define ENTRY_PEER_LINKS_H_

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/result.h"
#include "session/dialer.h"
#include "session/process_context.h"
#include "session/session.h"

namespace toucanhollow {

struct PeerLinksEvents {
  // A message from a peer. `reply` sends an answer over the same link.
  std::function<void(const Message& message,
                     const std::function<void(const Message&)>& reply)>
      config_message;
  // A link to a peer opened or closed.
  std::function<void()> hosts_changed;
};

class PeerLinks {
 public:
  PeerLinks(ProcessContext& context,
            LocalMessages self,
            PeerLinksEvents events);
  ~PeerLinks();

  // Accepts links from peers and dials the peers in the settings. Fails with
  // kSettingsInvalid if the link address cannot be bound.
  Result<bool> Start();

  // Lists this host and the entry hosts with an open link, each once.
  std::vector<Hello> EntryHosts() const;

 private:
  struct Peer {
    std::optional<Hello> hello;
    std::shared_ptr<Session> session;
    std::unique_ptr<Dialer> dialer;
  };
  SessionEvents OnAccepted(std::shared_ptr<Session> session);
  void Dial(const Address& address);

  ProcessContext& context;
  LocalMessages self;
  PeerLinksEvents events;
  std::unique_ptr<SessionListener> listener;
  std::vector<std::shared_ptr<Peer>> peers;
};

}  // namespace toucanhollow

#endif  // ENTRY_PEER_LINKS_H_
