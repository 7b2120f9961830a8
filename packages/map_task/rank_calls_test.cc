#include "map_task/rank_calls.h"

#include <set>

#include <catch2/catch.hpp>

#include "http_server/http_server.h"
#include "map_task/rank_agent.h"

namespace toucanhollow {
namespace {

constexpr char kHost[] = "127.0.0.1";

// An engine whose report shows how many orders it has taken.
EngineMapCodec PlainCodec() {
  EngineMapCodec codec{};
  codec.report_path = "/report";
  codec.counts_path = "/counts";
  codec.experts_path = "/experts";
  codec.order_path = "/order";
  codec.decode_report = [](const std::string&,
                           const std::string& body) -> Result<RankReport> {
    RankReport report;
    report.sequence = std::stoll(body);
    return report;
  };
  codec.decode_counts = [](const std::string& body, int) -> Result<RankCounts> {
    return RankCounts{1, 1, {{std::stod(body)}}};
  };
  codec.decode_experts = [](const std::string&) -> Result<RankExperts> {
    return RankExperts{4, {{1}}};
  };
  codec.encode_order = [](const RankOrder&, const GroupMap&, std::int64_t) {
    return std::string("order");
  };
  return codec;
}

struct Site {
  EventLoop loop;
  HttpClient client{loop};
  EngineMapCodec codec = PlainCodec();
  int orders = 0;
  // Orders that are taken and not answered.
  int silent_orders = 0;
  std::vector<std::shared_ptr<HttpResponseWriter>> unanswered;
  std::unique_ptr<HttpServer> engine;
  std::unique_ptr<RankAgent> agent;
  RankCalls calls{loop, client, codec};
  Address agent_address;

  Site() {
    HttpServerOptions options;
    options.address = kHost;
    options.port = 0;
    auto listening = HttpServer::Listen(
        this->loop, options,
        [this](const HttpRequest& request,
               const std::shared_ptr<HttpResponseWriter>& writer) {
          if (request.path == "/order") {
            ++this->orders;
            if (this->orders <= this->silent_orders) {
              this->unanswered.push_back(writer);
              return;
            }
          }
          writer->Respond(200, {}, std::to_string(this->orders));
        });
    REQUIRE(listening);
    this->engine = std::move(listening.value());
    REQUIRE(this->calls.Open({kHost, 0}));
    // A free port for the agent, taken again when it starts.
    auto probe = DatagramSocket::Bind(this->loop, {kHost, 0},
                                      [](const Address&, std::string_view) {});
    REQUIRE(probe);
    this->agent_address = probe.value()->BoundAddress();
  }

  void StartAgent() {
    RankAgentSettings settings;
    settings.process = "agent";
    settings.listen = this->agent_address;
    settings.metrics = {kHost, 0};
    settings.engine = {kHost, this->engine->Port()};
    this->agent =
        std::make_unique<RankAgent>(this->loop, settings, this->codec);
    REQUIRE(this->agent->Start());
  }

  std::vector<RankAnswer> Ask(RankRequestKind kind, bool direct) {
    std::vector<RankAnswer> got;
    this->calls.Start(
        {{{"s", this->agent_address, {kHost, this->engine->Port()}},
          {.kind = kind, .sets = 1}}},
        direct, [&](std::vector<RankAnswer> answers) {
          got = std::move(answers);
          this->loop.Stop();
        });
    this->loop.Run();
    REQUIRE(got.size() == 1);
    return got;
  }
};

TEST_CASE("an order is answered with the report that shows its effect") {
  Site site;
  site.StartAgent();
  const auto answers = site.Ask(RankRequestKind::kOrder, false);
  CHECK(answers[0].server == "s");
  CHECK(answers[0].reply.status == 200);
  REQUIRE(answers[0].reply.report);
  CHECK(answers[0].reply.report->server == "s");
  CHECK(answers[0].reply.report->sequence == 1);
  CHECK(site.orders == 1);
}

// Guards against a lost datagram that costs a round, and against an order that
// is given twice because its datagram was.
TEST_CASE("a lost request is sent again and carried out once") {
  Site site;
  // The first datagram finds no agent.
  const Timer late(site.loop, Milliseconds(40), Duration(0),
                   [&site] { site.StartAgent(); });
  const auto answers = site.Ask(RankRequestKind::kOrder, false);
  CHECK(answers[0].reply.status == 200);
  CHECK(site.orders == 1);
  // The engine answers later than the request is sent again.
  site.silent_orders = 2;
  const auto unanswered = site.Ask(RankRequestKind::kOrder, false);
  CHECK(unanswered[0].reply.status == 0);
  REQUIRE(unanswered[0].reply.report);
  CHECK(unanswered[0].reply.report->sequence == 2);
  CHECK(site.orders == 2);
}

// Guards against a group that nobody can steer while an agent is away.
TEST_CASE("an engine without its agent is asked itself") {
  Site site;
  const auto answers = site.Ask(RankRequestKind::kOrder, true);
  CHECK(answers[0].reply.status == 200);
  REQUIRE(answers[0].reply.report);
  CHECK(answers[0].reply.report->server == "s");
  const TimePoint began = EventLoop::Now();
  CHECK(site.Ask(RankRequestKind::kReport, true)[0].reply.report);
  // The agent is known to be away.
  CHECK(EventLoop::Now() - began < Milliseconds(100));
  CHECK(site.Ask(RankRequestKind::kReport, false)[0].reply.status == 0);
}

TEST_CASE("choices are what the counters grew by") {
  Site site;
  site.StartAgent();
  CHECK_FALSE(site.Ask(RankRequestKind::kChoices, false)[0].reply.choices);
  site.orders = 5;
  CHECK(site.Ask(RankRequestKind::kChoices, false)[0].reply.choices ==
        ChoiceTable{{5}});
}

}  // namespace
}  // namespace toucanhollow
