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
  const std::weak_ptr<Peer> weak = peer;
  return SessionEvents{[this, weak](const Hello& hello) {
                         if (const auto strong = weak.lock()) {
                           strong->hello = hello;
                           this->events.changed();
                         }
                       },
                       [this, weak](const Message& message) {
                         if (const auto strong = weak.lock()) {
                           this->events.config(message,
                                               [strong](const Message& reply) {
                                                 strong->session->Send(reply);
                                               });
                         }
                       },
                       [this, weak](const Failure&) {
                         std::erase(this->peers, weak.lock());
                         this->events.changed();
                       }};
}

void PeerLinks::Dial(const Address& address) {
  const auto peer = std::make_shared<Peer>();
  this->peers.push_back(peer);
  auto* raw = peer.get();
  peer->dialer = std::make_unique<Dialer>(
      this->context, std::vector<Address>{address}, this->self,
      DialerEvents{[this, raw](const Hello& hello) {
                     raw->hello = hello;
                     this->events.changed();
                   },
                   [this, raw](const Message& message) {
                     this->events.config(message, [raw](const Message& reply) {
                       raw->dialer->Send(reply);
                     });
                   },
                   [this, raw](const Failure&) {
                     raw->hello.reset();
                     this->events.changed();
                   }});
}

std::vector<Hello> PeerLinks::EntryHosts() const {
  Hello own = this->self.hello();
  own.process = this->context.settings.process;
  own.data_centre = this->context.settings.data_centre;
  std::vector<Hello> hosts = {own};
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
