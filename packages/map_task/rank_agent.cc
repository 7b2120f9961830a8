#include "map_task/rank_agent.h"

#include <sstream>
#include <utility>

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include "json_log/json_log.h"
#include "settings/parse_address.h"

namespace toucanhollow {
namespace {

// The engine is on the same machine and answers at once or not at all.
constexpr Duration kEngineTimeout = Milliseconds(400);
constexpr int kStatusBadGateway = 502;
constexpr int kStatusNotFound = 404;
// A map of all sets of a large group is some tens of kilobytes.
constexpr std::size_t kMaxOrderBytes = std::size_t{1024} * 1024;

Result<Address> ReadAddress(const boost::property_tree::ptree& tree,
                            const std::string& field) {
  Result<Address> address = ParseAddress(tree.get<std::string>(field, ""));
  if (!address) {
    return MakeFailure(ResultCode::kSettingsInvalid,
                       field + ": " + address.error().detail);
  }
  return address;
}

}  // namespace

Result<RankAgentSettings> ParseRankAgentSettings(const std::string& text) {
  boost::property_tree::ptree tree;
  try {
    std::istringstream stream(text);
    boost::property_tree::read_ini(stream, tree);
  } catch (const boost::property_tree::ini_parser_error& error) {
    return MakeFailure(
        ResultCode::kSettingsInvalid,
        "line " + std::to_string(error.line()) + ": " + error.message());
  }
  RankAgentSettings settings;
  settings.process = tree.get<std::string>("process.name", "");
  if (settings.process.empty()) {
    return MakeFailure(ResultCode::kSettingsInvalid,
                       "process.name: missing; set it");
  }
  BOOST_OUTCOME_TRY(listen, ReadAddress(tree, "listen.agent"));
  BOOST_OUTCOME_TRY(engine, ReadAddress(tree, "engine.address"));
  settings.listen = listen;
  settings.engine = engine;
  return settings;
}

RankAgent::RankAgent(EventLoop& loop,
                     RankAgentSettings settings,
                     std::set<std::string> paths)
    : loop(loop),
      settings(std::move(settings)),
      paths(std::move(paths)),
      client(loop) {}

Result<bool> RankAgent::Start() {
  HttpServerOptions options;
  options.address = this->settings.listen.ip;
  options.port = this->settings.listen.port;
  options.max_connections = 32;
  options.max_body_bytes = kMaxOrderBytes;
  auto opened = HttpServer::Listen(
      this->loop, options,
      [this](const HttpRequest& request,
             const std::shared_ptr<HttpResponseWriter>& writer) {
        this->Pass(request, writer);
      });
  BOOST_OUTCOME_TRY(listening, std::move(opened));
  this->server = std::move(listening);
  LogJsonNow("started", {});
  return true;
}

void RankAgent::Pass(const HttpRequest& request,
                     const std::shared_ptr<HttpResponseWriter>& writer) {
  if (!this->paths.contains(request.path)) {
    writer->Respond(kStatusNotFound, {}, "");
    return;
  }
  HttpCall call;
  call.method = request.method;
  call.url = "http://" + this->settings.engine.ip + ":" +
             std::to_string(this->settings.engine.port) + request.path;
  if (!request.query.empty()) {
    call.url += "?" + request.query;
  }
  if (!request.body.empty()) {
    call.headers.push_back({"Content-Type", "application/json"});
  }
  call.body = request.body;
  call.connect_timeout = kEngineTimeout;
  call.total_timeout = kEngineTimeout;
  // Orders are numbered by what they expect, so a second copy is refused.
  call.repeatable = true;
  this->client.Start(std::move(call),
                     {nullptr, nullptr, [writer](const HttpOutcome& outcome) {
                        const bool answered = outcome.end == HttpEnd::kComplete;
                        writer->Respond(
                            answered ? outcome.status : kStatusBadGateway, {},
                            outcome.body);
                      }});
}

}  // namespace toucanhollow
