#include "map_task/rank_calls.h"

#include <set>

#include <catch2/catch.hpp>

#include "http_server/http_server.h"
#include "map_task/rank_agent.h"
#include "permit/permit_client.h"

namespace toucanhollow {
namespace {

constexpr char kHost[] = "127.0.0.1";

// A codec for an engine that reports how many orders it has accepted.
EngineMapCodec MakeTestCodec() {
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
  codec.read_limit = [](const HttpHeaders& headers) {
    const std::string_view limit = FindHeader(headers, "limit");
    return limit.empty() ? LimitField{}
                         : LimitField{LimitFieldKind::kNamed,
                                      std::stod(std::string(limit))};
  };
  codec.encode_order = [](const RankOrder&, const GroupMap&, std::int64_t) {
    return std::string("order");
  };
  return codec;
}

struct AgentFixture {
  EventLoop loop;
  HttpClient client{loop};
  EngineMapCodec codec = MakeTestCodec();
  int orders = 0;
  HttpHeaders headers;      // of each answer of the engine
  std::size_t padding = 0;  // spaces at the end of each answer of the engine
  // The first orders, up to this number, are accepted but not answered.
  int unanswered_order_count = 0;
  std::vector<std::shared_ptr<HttpResponseWriter>> unanswered;
  std::unique_ptr<HttpServer> engine;
  std::unique_ptr<RankAgent> agent;
  RankCalls calls{loop, client, codec};
  Address agent_address;

  AgentFixture() {
    HttpServerOptions options;
    options.address = kHost;
    options.port = 0;
    auto listening = HttpServer::Listen(
        this->loop, options,
        [this](const HttpRequest& request,
               const std::shared_ptr<HttpResponseWriter>& writer) {
          if (request.path == "/order") {
            ++this->orders;
            if (this->orders <= this->unanswered_order_count) {
              this->unanswered.push_back(writer);
              return;
            }
          }
          writer->Respond(
              200, this->headers,
              std::to_string(this->orders) + std::string(this->padding, ' '));
        });
    REQUIRE(listening);
    this->engine = std::move(listening.value());
    REQUIRE(this->calls.Open({kHost, 0}));
    // Finds a free port, which the agent binds when it starts.
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

  std::vector<RankAnswer> Ask(RankRequestKind kind, bool fall_back_to_engine) {
    std::vector<RankAnswer> got;
    this->calls.Start(
        {{{"s", this->agent_address, {kHost, this->engine->Port()}},
          {.kind = kind, .sets = 1}}},
        fall_back_to_engine, [&](std::vector<RankAnswer> answers) {
          got = std::move(answers);
          this->loop.Stop();
        });
    this->loop.Run();
    REQUIRE(got.size() == 1);
    return got;
  }
};

TEST_CASE("an order is answered with the report that shows its effect") {
  AgentFixture fixture;
  fixture.StartAgent();
  const auto answers = fixture.Ask(RankRequestKind::kOrder, false);
  CHECK(answers[0].server == "s");
  CHECK(answers[0].reply.status == 200);
  REQUIRE(answers[0].reply.report);
  CHECK(answers[0].reply.report->server == "s");
  CHECK(answers[0].reply.report->sequence == 1);
  CHECK(fixture.orders == 1);
}

// Guards against a lost datagram that delays a round, and against an order that
// is executed twice because its datagram arrived twice.
TEST_CASE("a lost request is sent again and executed once") {
  AgentFixture fixture;
  // The agent is not listening yet when the first datagram arrives.
  const Timer agent_start_timer(fixture.loop, Milliseconds(40), Duration(0),
                                [&fixture] { fixture.StartAgent(); });
  const auto answers = fixture.Ask(RankRequestKind::kOrder, false);
  CHECK(answers[0].reply.status == 200);
  CHECK(fixture.orders == 1);
  // The engine executes the next order but does not answer it, so that the
  // request may be sent again.
  fixture.unanswered_order_count = 2;
  const auto unanswered = fixture.Ask(RankRequestKind::kOrder, false);
  CHECK(unanswered[0].reply.status == 0);
  REQUIRE(unanswered[0].reply.report);
  CHECK(unanswered[0].reply.report->sequence == 2);
  CHECK(fixture.orders == 2);
}

// Guards against an engine that gets more requests than it takes because its
// agent does not read the limit in its reports.
TEST_CASE("an agent gives the permits that its engine's limit allows") {
  AgentFixture fixture;
  fixture.StartAgent();
  Metrics metrics;
  PermitClient permits(fixture.loop, metrics);
  REQUIRE(permits.Open({kHost, 0}));
  const auto ask = [&] {
    PermitAnswer got;
    permits.Ask(fixture.agent_address, {0, 7, {0, 0}},
                [&](const PermitAnswer& answer) {
                  got = answer;
                  fixture.loop.Stop();
                });
    fixture.loop.Run();
    return got.outcome;
  };
  fixture.Ask(RankRequestKind::kReport, false);
  CHECK(ask() == PermitOutcome::kGranted);
  fixture.headers = {{"limit", "0"}};
  fixture.Ask(RankRequestKind::kReport, false);
  CHECK(ask() == PermitOutcome::kDenied);
  fixture.headers = {};
  fixture.Ask(RankRequestKind::kReport, false);
  CHECK(ask() == PermitOutcome::kGranted);
}

// Guards against an answer that takes more memory than the process may have.
TEST_CASE("an engine's answer of more than 1 MB is refused") {
  constexpr std::size_t kAccepted = 100'000;
  constexpr std::size_t kRefused = 1'100'000;
  AgentFixture fixture;
  fixture.StartAgent();
  // Choices are counted from the first reading on.
  fixture.Ask(RankRequestKind::kChoices, false);
  for (const RankRequestKind kind :
       {RankRequestKind::kReport, RankRequestKind::kChoices,
        RankRequestKind::kExperts}) {
    for (const std::size_t padding : {kAccepted, kRefused}) {
      fixture.padding = padding;
      const RankReply reply = fixture.Ask(kind, false)[0].reply;
      INFO("kind " << static_cast<int>(kind) << ", " << padding << " bytes");
      CHECK((reply.report || reply.choices || reply.experts) ==
            (padding == kAccepted));
    }
  }
}

// Guards against a group that cannot be coordinated while an agent is down.
TEST_CASE("an engine whose agent is down is called directly") {
  AgentFixture fixture;
  const auto answers = fixture.Ask(RankRequestKind::kOrder, true);
  CHECK(answers[0].reply.status == 200);
  REQUIRE(answers[0].reply.report);
  CHECK(answers[0].reply.report->server == "s");
  const TimePoint began = EventLoop::Now();
  CHECK(fixture.Ask(RankRequestKind::kReport, true)[0].reply.report);
  // The agent is already known to be down, so it is not waited for.
  CHECK(EventLoop::Now() - began < Milliseconds(100));
  CHECK(fixture.Ask(RankRequestKind::kReport, false)[0].reply.status == 0);
}

TEST_CASE("choices are the increase of the counters") {
  AgentFixture fixture;
  fixture.StartAgent();
  CHECK_FALSE(fixture.Ask(RankRequestKind::kChoices, false)[0].reply.choices);
  fixture.orders = 5;
  CHECK(fixture.Ask(RankRequestKind::kChoices, false)[0].reply.choices ==
        ChoiceTable{{5}});
}

}  // namespace
}  // namespace toucanhollow
