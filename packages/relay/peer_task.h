// PeerTask: what entry hosts tell each other. Load reports go in datagrams,
// several times a second. A host that the store refuses fetches the store's
// records from the others.
#ifndef RELAY_PEER_TASK_H_
#define RELAY_PEER_TASK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "datagram/datagram_socket.h"
#include "event_loop/event_loop.h"
#include "http_client/http_client.h"
#include "http_server/http_server.h"
#include "relay/dispatcher.h"
#include "relay/platform_view_task.h"
#include "relay/relay_settings.h"

namespace toucanhollow {

class PeerTask {
 public:
  PeerTask(EventLoop& loop,
           HttpClient& client,
           const RelaySettings& settings,
           BeliefTask& beliefs,
           Dispatcher& dispatcher);
  ~PeerTask();

  // Opens the sockets. Fails with kSettingsInvalid.
  Result<bool> Start();

 private:
  struct Peer {
    // The last datagram or reply.
    TimePoint heard_at;
    bool heard = false;
  };

  void OnDatagram(const Address& from, std::string_view bytes);
  void SendReports();
  void Fetch();
  void FetchFrom(const std::string& ip);
  void OnReply(const std::string& ip,
               const HttpOutcome& outcome,
               LogOffset operator_from,
               LogOffset server_from,
               TimePoint asked_at);
  void Answer(const HttpRequest& request, HttpResponseWriter& writer);
  void Hear(const std::string& ip);
  std::vector<std::string> HeardHosts(TimePoint now) const;
  // True while this host may not know most of the others yet.
  bool IsSettling(TimePoint now) const;

  EventLoop& loop;
  HttpClient& client;
  const RelaySettings& settings;
  BeliefTask& beliefs;
  Dispatcher& dispatcher;
  std::map<std::string, Peer> peers;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<DatagramSocket> socket;
  std::unique_ptr<Timer> report_timer;
  std::unique_ptr<Timer> fetch_timer;
  TimePoint started_at;
  std::uint64_t incarnation;
  std::uint64_t sequence = 0;
  std::string last_loads;
  TimePoint last_report_at;
  TimePoint last_fetch_at;
  std::size_t next_peer = 0;
  std::uint64_t fetch_serial = 0;
  std::map<std::uint64_t, HttpCallId> fetches;
};

}  // namespace toucanhollow

#endif  // RELAY_PEER_TASK_H_
