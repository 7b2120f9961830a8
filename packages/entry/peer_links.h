// Links between entry hosts, for snapshots of the configuration and to know
// which entry hosts are alive.
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
  // Messages about the configuration, with a way to answer.
  std::function<void(const Message& message,
                     const std::function<void(const Message&)>& reply)>
      config;
  // A peer came or went.
  std::function<void()> changed;
};

class PeerLinks {
 public:
  PeerLinks(ProcessContext& context,
            LocalMessages self,
            PeerLinksEvents events);
  ~PeerLinks();

  // Accepts peers and dials those of the settings. Fails with
  // kSettingsInvalid.
  Result<bool> Start();

  // This host and the entry hosts with a link up, each once.
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
