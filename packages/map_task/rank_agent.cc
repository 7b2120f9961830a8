#include "map_task/rank_agent.h"

#include <sstream>
#include <utility>

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include "json_log/json_log.h"
#include "map_task/rank_message_codec.h"
#include "permit/answer_permit_request.h"
#include "permit/permit_codec.h"
#include "settings/parse_address.h"

namespace toucanhollow {
namespace {

// The engine is on the same machine: it answers within some milliseconds or not
// at all.
constexpr Duration kEngineTimeout = Milliseconds(60);
// Replies that are stored per requester for requests that arrive twice. A
// coordinator has at most two requests to one agent in flight.
constexpr std::size_t kMaxRepliesPerRequester = 4;
// Requesters are entry hosts that probe, and coordinators.
constexpr std::size_t kMaxRequesters = 64;

// A machine has few servers.
constexpr std::size_t kMaxServersPerAgent = 64;

Result<Address> ParseAddressField(const boost::property_tree::ptree& tree,
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
  BOOST_OUTCOME_TRY(listen, ParseAddressField(tree, "listen.agent"));
  BOOST_OUTCOME_TRY(metrics, ParseAddressField(tree, "listen.metrics"));
  settings.listen = listen;
  settings.metrics = metrics;
  const std::string engine_field = "engine.address";
  if (!tree.get_optional<std::string>(engine_field)) {
    // The file may be incomplete.
    return MakeFailure(ResultCode::kSettingsInvalid,
                       engine_field + ": missing; set it");
  }
  const Result<Address> engine = ParseAddressField(tree, engine_field);
  if (engine) {
    settings.engine = engine.value();
  } else {
    settings.mistakes.push_back(engine.error());
  }
  return settings;
}

RankAgent::RankAgent(EventLoop& loop,
                     RankAgentSettings settings,
                     const EngineMapCodec& codec)
    : loop(loop),
      settings(std::move(settings)),
      client(loop),
      engine(this->client, codec) {}

Result<bool> RankAgent::Start() {
  BeginLedgers(this->permit_issuer, kMaxServersPerAgent, EventLoop::Now());
  auto opened =
      DatagramSocket::Bind(this->loop, this->settings.listen,
                           [this](const Address& from, std::string_view bytes) {
                             this->OnDatagram(from, bytes);
                           });
  BOOST_OUTCOME_TRY(bound, std::move(opened));
  this->socket = std::move(bound);
  this->engine.SetLimitHandler(
      [this](const EngineLimit& limit) { this->OnEngineLimit(limit); });
  this->metrics_server = std::make_unique<MetricsServer>(
      this->loop, this->settings.metrics,
      [this] { return this->metrics.FormatText(); });
  LogJsonNow("started", {});
  return true;
}

void RankAgent::OnPermitRequest(const Address& from, std::string_view bytes) {
  const Result<std::string> reply =
      AnswerPermitRequest(this->permit_issuer, from, bytes, EventLoop::Now());
  if (!reply) {
    LogJsonNow("permit_request_malformed",
               {{"from", std::string_view(from.ip)},
                {"detail", std::string_view(reply.error().detail)}});
    return;
  }
  this->metrics.Count("permit_requests_total");
  this->metrics.SetGauge(
      "permits_denied_by_limit",
      static_cast<double>(this->permit_issuer.denied_by_limit));
  if (!reply.value().empty()) {
    this->socket->Send(from, reply.value());
  }
}

void RankAgent::OnEngineLimit(const EngineLimit& limit) {
  const std::optional<ServerLimit> statement =
      FindStatement(limit.field, limit.asked_at, limit.received_at);
  if (!statement) {
    this->metrics.Count("server_limits_malformed_total");
    if (IsMalformedLimitLogDue(this->malformed_limit_logged_at,
                               limit.received_at)) {
      this->malformed_limit_logged_at = limit.received_at;
      LogJsonNow("server_limit_malformed", {{"source", "report"}});
    }
    return;
  }
  KnownLimits& known = this->permit_issuer.limits;
  std::optional<ServerLimit> before;
  if (known.engine) {
    before = known.engine->limit;
  }
  MergeEngineLimit(known, limit.start_time_ms, *statement, limit.received_at);
  const ServerLimit& after = known.engine->limit;
  if (!IsSameLimit(before, after)) {
    LogJsonNow("server_limit_changed", {{"kind", LimitKindName(after.kind)},
                                        {"per_s", after.per_s},
                                        {"source", "report"}});
  }
  this->metrics.SetGauge("limited_servers", IsNamed(after) ? 1 : 0);
}

void RankAgent::OnDatagram(const Address& from, std::string_view bytes) {
  if (IsPermitMessage(bytes)) {
    this->OnPermitRequest(from, bytes);
    return;
  }
  const Result<NumberedRankRequest> message = DecodeRankRequest(bytes);
  if (!message) {
    LogJsonNow("rank_request_malformed",
               {{"from", std::string_view(from.ip)},
                {"detail", std::string_view(message.error().detail)}});
    return;
  }
  if (this->requesters.size() >= kMaxRequesters &&
      !this->requesters.contains(from)) {
    this->requesters.clear();
  }
  Requester& requester = this->requesters[from];
  const std::uint64_t serial = message.value().serial;
  const auto [reply, is_new] = requester.replies.try_emplace(serial);
  if (!is_new) {
    if (!reply->second.empty()) {
      this->socket->Send(from, reply->second);
    }
    return;
  }
  while (requester.replies.size() > kMaxRepliesPerRequester) {
    requester.replies.erase(requester.replies.begin());
  }
  if (this->settings.engine.ip.empty()) {
    this->SendReply(from, serial, {.detail = "the agent has no engine"});
    return;
  }
  const TimePoint requested_at = EventLoop::Now();
  this->engine.Execute(
      this->settings.engine, message.value().request, kEngineTimeout,
      [this, from, serial, requested_at](RankReply reply) {
        this->metrics.Observe("engine_answer_ms",
                              ToMilliseconds(EventLoop::Now() - requested_at));
        this->SendReply(from, serial, std::move(reply));
      });
}

void RankAgent::SendReply(const Address& from,
                          std::uint64_t serial,
                          RankReply reply) {
  this->metrics.Count("rank_requests_total",
                      "status=\"" + std::to_string(reply.status) + "\"");
  std::string bytes = EncodeRankReply({serial, std::move(reply)});
  this->socket->Send(from, bytes);
  Requester& requester = this->requesters[from];
  const auto stored = requester.replies.find(serial);
  if (stored != requester.replies.end()) {
    stored->second = std::move(bytes);
  }
}

}  // namespace toucanhollow
