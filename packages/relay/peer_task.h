// PeerTask: exchanges state with the other entry hosts. Load reports are sent
// in datagrams, several times a second. A host that cannot read the store
// fetches its records from the others. The host that holds the lease of the
// issuer gives permits for servers without an agent.
#ifndef RELAY_PEER_TASK_H_
#define RELAY_PEER_TASK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "datagram/datagram_socket.h"
#include "event_loop/event_loop.h"
#include "http_client/http_client.h"
#include "http_server/http_server.h"
#include "permit/leased_issuer.h"
#include "permit/shared_issuer.h"
#include "relay/dispatcher.h"
#include "relay/platform_view_task.h"
#include "relay/relay_settings.h"
#include "traffic/host_count.h"

namespace toucanhollow {

class PeerTask {
 public:
  PeerTask(EventLoop& loop,
           HttpClient& client,
           const RelaySettings& settings,
           PlatformViewTask& view_task,
           Dispatcher& dispatcher,
           PromptQuarantine& quarantine);
  ~PeerTask();

  // Opens the sockets. Fails with kSettingsInvalid.
  Result<bool> Start();
  // Sends a datagram to all entry hosts that are known to run, or to the one at
  // this IP address.
  void Broadcast(const std::string& bytes);
  void Send(const std::string& ip, const std::string& bytes);
  void OnJoined(const JoinAnswer& answer);
  // Permits that this host denied as an issuer because of a server's limit.
  std::uint64_t permits_denied_by_limit() const {
    return this->permit_issuer.issuer.denied_by_limit +
           this->shared_issuer.issuer.denied_by_limit;
  }

 private:
  struct Peer {
    // When the last datagram or reply arrived.
    TimePoint last_contact_at;
    bool had_contact = false;
  };

  void OnDatagram(const Address& from, std::string_view bytes);
  void OnPermitRequest(const Address& from, std::string_view bytes);
  // Tells the dispatcher whether this host is the issuer of permits.
  void UpdateIssuing();
  // Finds whether this host may use a share of the limits of servers.
  void UpdateSharing();
  // True if a host that was heard of when the store last answered is silent.
  bool IsAnyHostSilent(TimePoint now) const;
  void SendReports();
  void Fetch();
  void FetchFrom(const std::string& ip);
  void OnReply(const std::string& ip,
               const HttpOutcome& outcome,
               TimePoint requested_at);
  void RespondToFetch(const HttpRequest& request, HttpResponseWriter& writer);
  void RecordPeerContact(const std::string& ip);
  std::vector<std::string> ListLivePeers(TimePoint now) const;
  // True for a short time after the start, while this host may not know most of
  // the others yet.
  bool IsDiscovering(TimePoint now) const;

  EventLoop& loop;
  HttpClient& client;
  const RelaySettings& settings;
  PlatformViewTask& view_task;
  Dispatcher& dispatcher;
  PromptQuarantine& quarantine;
  std::map<std::string, Peer> peers;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<DatagramSocket> socket;
  std::unique_ptr<Timer> report_timer;
  std::unique_ptr<Timer> fetch_timer;
  LeasedIssuer permit_issuer;
  SharedIssuer shared_issuer;
  // When the last join that the store answered was sent, and when the answer
  // arrived; at the start if there was none.
  std::optional<BootTime> joined_at;
  TimePoint join_answered_at;
  HostCount host_count;
  TimePoint started_at;
  std::uint64_t incarnation;
  std::uint64_t sequence = 0;
  std::string last_sent_loads;
  std::uint64_t last_sent_limit_changes = 0;
  TimePoint last_report_at;
  TimePoint last_fetch_at;
  std::size_t next_peer = 0;
  std::uint64_t fetch_serial = 0;
  std::map<std::uint64_t, HttpCallId> fetches;
};

}  // namespace toucanhollow

#endif  // RELAY_PEER_TASK_H_
