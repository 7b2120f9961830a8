// RankAgent: the process beside a model engine. It passes calls of the
// coordinator on to the engine, which answers them freshly and free of charge
// when they come from its own machine.
#ifndef MAP_TASK_RANK_AGENT_H_
#define MAP_TASK_RANK_AGENT_H_

#include <memory>
#include <set>
#include <string>

#include "base/address.h"
#include "base/result.h"
#include "event_loop/event_loop.h"
#include "http_client/http_client.h"
#include "http_server/http_server.h"

namespace toucanhollow {

struct RankAgentSettings {
  std::string process;
  Address listen;
  Address engine;

  bool operator==(const RankAgentSettings&) const = default;
};

// Reads an INI text. Fails with kSettingsInvalid.
Result<RankAgentSettings> ParseRankAgentSettings(const std::string& text);

class RankAgent {
 public:
  // Only these paths are passed on.
  RankAgent(EventLoop& loop,
            RankAgentSettings settings,
            std::set<std::string> paths);

  // Opens the socket. Fails with kSettingsInvalid.
  Result<bool> Start();

 private:
  void Pass(const HttpRequest& request,
            const std::shared_ptr<HttpResponseWriter>& writer);

  EventLoop& loop;
  RankAgentSettings settings;
  std::set<std::string> paths;
  HttpClient client;
  std::unique_ptr<HttpServer> server;
};

}  // namespace toucanhollow

#endif  // MAP_TASK_RANK_AGENT_H_
