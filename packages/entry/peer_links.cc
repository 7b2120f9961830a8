#include "entry/peer_links.h"

#include <algorithm>
#include <utility>

#include "settings/parse_address.h"

namespace toucanhollow {

PeerLinks::PeerLinks(ProcessContext& process_context,
                     LocalMessages session_self,
                     PeerLinksEvents links_events)
    : context(process_context),
      self(std::move(session_self)),
      events(std::move(links_events)) {}

PeerLinks::~PeerLinks() = default;

Result<bool> PeerLinks::Start() {
  const Address& address = this->context.settings.link;
  this->listener = std::make_unique<SessionListener>(
      this->context, address, this->self,
      [this](std::shared_ptr<Session> session) {
        return this->OnAccepted(std::move(session));
      });
  if (!this->listener->Error().empty()) {
    return MakeFailure(ResultCode::kSettingsInvalid,
                       "[listen] link is " + FormatAddress(address) + ": " +
                           this->listener->Error() +
                           "; use a free address of this host");
  }
  for (const Address& peer : this->context.settings.peers) {
    this->Dial(peer);
  }
  return true;
}

SessionEvents PeerLinks::OnAccepted(std::shared_ptr<Session> session) {
  const auto peer = std::make_shared<Peer>();
  peer->session = std::move(session);
  this->peers.push_back(peer);
  const std::weak_ptr<Peer> weak_peer = peer;
  return SessionEvents{[this, weak_peer](const Hello& hello) {
                         if (const auto locked_peer = weak_peer.lock()) {
                           locked_peer->hello = hello;
                           this->events.hosts_changed();
                         }
                       },
                       [this, weak_peer](const Message& message) {
                         if (const auto locked_peer = weak_peer.lock()) {
                           this->events.config_message(
                               message, [locked_peer](const Message& reply) {
                                 locked_peer->session->Send(reply);
                               });
                         }
                       },
                       [this, weak_peer](const Failure&) {
                         std::erase(this->peers, weak_peer.lock());
                         this->events.hosts_changed();
                       }};
}

void PeerLinks::Dial(const Address& address) {
  const auto peer = std::make_shared<Peer>();
  this->peers.push_back(peer);
  auto* raw_peer = peer.get();
  peer->dialer = std::make_unique<Dialer>(
      this->context, std::vector<Address>{address}, this->self,
      DialerEvents{[this, raw_peer](const Hello& hello) {
                     raw_peer->hello = hello;
                     this->events.hosts_changed();
                   },
                   [this, raw_peer](const Message& message) {
                     this->events.config_message(
                         message, [raw_peer](const Message& reply) {
                           raw_peer->dialer->Send(reply);
                         });
                   },
                   [this, raw_peer](const Failure&) {
                     raw_peer->hello.reset();
                     this->events.hosts_changed();
                   }});
}

std::vector<Hello> PeerLinks::EntryHosts() const {
  Hello local_hello = this->self.hello();
  local_hello.process = this->context.settings.process;
  local_hello.data_centre = this->context.settings.data_centre;
  std::vector<Hello> hosts = {local_hello};
  for (const auto& peer : this->peers) {
    if (peer->hello && peer->hello->role == "entry_host" &&
        std::ranges::find(hosts, peer->hello->process, &Hello::process) ==
            hosts.end()) {
      hosts.push_back(*peer->hello);
    }
  }
  return hosts;
}

}  // namespace toucanhollow
