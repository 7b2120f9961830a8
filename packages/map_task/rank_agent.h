// RankAgent: the process beside a model engine. It executes a coordinator's
// requests at the engine, which gives current answers free of charge to calls
// from its own machine, and gives entry hosts permits to send requests to it.
#ifndef MAP_TASK_RANK_AGENT_H_
#define MAP_TASK_RANK_AGENT_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/address.h"
#include "base/result.h"
#include "datagram/datagram_socket.h"
#include "event_loop/event_loop.h"
#include "http_client/http_client.h"
#include "map_task/rank_engine_client.h"
#include "metrics/metrics.h"
#include "metrics_server/metrics_server.h"
#include "permit/answer_permit_request.h"

namespace toucanhollow {

struct RankAgentSettings {
  std::string process;
  Address listen;  // UDP
  Address metrics;
  // Without an address while the agent has no engine.
  Address engine;
  // In fields that have another value instead.
  std::vector<Failure> mistakes;

  bool operator==(const RankAgentSettings&) const = default;
};

// Parses the settings from INI text. Fails with kSettingsInvalid. An engine
// whose address is empty or cannot be read is left out and listed in
// `mistakes`: the agent still gives permits.
Result<RankAgentSettings> ParseRankAgentSettings(const std::string& text);

class RankAgent {
 public:
  RankAgent(EventLoop& loop,
            RankAgentSettings settings,
            const EngineMapCodec& codec);

  // Opens the sockets. Fails with kSettingsInvalid if the UDP port is held; the
  // port of the metrics may follow later.
  Result<bool> Start();

 private:
  // The last requests from one coordinator's socket. A request that arrives
  // twice is executed once.
  struct Requester {
    // Replies by serial number; empty while the engine has not answered.
    std::map<std::uint64_t, std::string> replies;
  };

  void OnDatagram(const Address& from, std::string_view bytes);
  void OnPermitRequest(const Address& from, std::string_view bytes);
  void OnEngineLimit(const EngineLimit& limit);
  void SendReply(const Address& from, std::uint64_t serial, RankReply reply);

  EventLoop& loop;
  RankAgentSettings settings;
  HttpClient client;
  RankEngineClient engine;
  Metrics metrics;
  PermitIssuer permit_issuer;
  std::optional<TimePoint> malformed_limit_logged_at;
  std::map<Address, Requester> requesters;
  std::unique_ptr<DatagramSocket> socket;
  std::unique_ptr<MetricsServer> metrics_server;
};

}  // namespace toucanhollow

#endif  // MAP_TASK_RANK_AGENT_H_
