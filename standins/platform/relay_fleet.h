// RelayFleet: a site with several relays on one loop, each with an address of
// its own.
#ifndef STANDINS_PLATFORM_RELAY_FLEET_H_
#define STANDINS_PLATFORM_RELAY_FLEET_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "map_task/rank_agent.h"
#include "standins/platform/own_loopback.h"
#include "standins/platform/relay_site.h"

namespace toucanhollow {

// The configuration of ConfigText with another service entry. `more` is added
// to the service.
inline std::string ServiceConfigText(int version, const std::string& more) {
  std::string config = ConfigText(version, "\"k1\"");
  const std::string plain = R"({"name":"ledger","max_conns":96})";
  config.replace(config.find(plain), plain.size(),
                 R"({"name":"ledger","max_conns":96)" + more + "}");
  return config;
}

struct RelayFleet : Site {
  static constexpr int kSeeds = 3;

  std::vector<RelaySettings> host_settings;
  std::vector<std::unique_ptr<RelayHost>> hosts;

  explicit RelayFleet(int count) {
    this->TakeOwnAddresses();
    for (int i = 0; i < count; ++i) {
      RelaySettings host = this->settings;
      const std::string ip = OwnLoopbackIp(10 + i);
      host.process.value = "front-" + std::to_string(i);
      host.callers.ip = ip;
      host.readiness.ip = ip;
      host.control.ip = ip;
      this->host_settings.push_back(host);
      this->hosts.emplace_back();
    }
    for (RelaySettings& host : this->host_settings) {
      for (int i = 0; i < std::min(kSeeds, count); ++i) {
        host.seeds.push_back(this->host_settings[i].control);
      }
    }
  }

  // Starts the host, or starts it again.
  void StartHost(int number) {
    this->hosts[number].reset();
    this->hosts[number] =
        std::make_unique<RelayHost>(this->loop, this->host_settings[number],
                                    PlatformCodec(), platform::EngineCodec());
    const Result<bool> started = this->hosts[number]->Start();
    INFO((started ? std::string() : started.error().detail));
    REQUIRE(started);
  }

  bool IsReady(int number) {
    Caller ready(this->loop, this->host_settings[number].readiness);
    ready.connection->Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    return this->RunUntil([&ready] { return ready.parser.done(); }) &&
           ready.parser.head().status == 200;
  }

  // An agent beside the server at this address. Without a port, its engine
  // gives no reports.
  std::unique_ptr<RankAgent> StartAgent(const std::string& ip,
                                        std::uint16_t engine_port = 1) {
    RankAgentSettings agent_settings;
    agent_settings.process = "agent-" + ip;
    agent_settings.listen = {ip, this->settings.report_port};
    agent_settings.metrics = {ip, 0};
    agent_settings.engine = {ip, engine_port};
    auto agent = std::make_unique<RankAgent>(
        this->loop, std::move(agent_settings), platform::EngineCodec());
    REQUIRE(agent->Start());
    return agent;
  }
};

}  // namespace toucanhollow

#endif  // STANDINS_PLATFORM_RELAY_FLEET_H_
