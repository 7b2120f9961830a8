// Entry hosts that get no processor time for a while: what arrives meanwhile
// lies in the kernel's buffers when they go on.
#include <algorithm>
#include <chrono>
#include <csignal>

#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "map_task/rank_agent.h"
#include "standins/platform/engine_group_stand_in.h"
#include "standins/platform/relay_process.h"

namespace toucanhollow {
namespace {

std::vector<std::unique_ptr<Caller>> AskMany(RelayProcess& site, int count) {
  std::vector<std::unique_ptr<Caller>> callers;
  for (int i = 0; i < count; ++i) {
    callers.push_back(
        std::make_unique<Caller>(site.loop, site.settings.callers));
    callers.back()->connection->Write(
        Request("POST", "/u/x", "r" + std::to_string(i), "", "body"));
  }
  return callers;
}

}  // namespace

// Guards against answers that are replaced by a failure because their deadline
// passed between their arrival and the time at which the host read them.
TEST_CASE("answers that arrived while the host stood still are passed on") {
  RelayProcess site(Seconds(8));
  SealedServerStandIn& server = site.second;
  site.store.Put("keyed.servers", "i-1", std::nullopt);
  site.store.Put("keyed.servers", "i-2",
                 R"({"service":"ledger","address":"127.0.0.1:)" +
                     std::to_string(server.Port()) +
                     R"(","zone":"west","slots":400,"state":"ready",)"
                     R"("born":1700000000000})");
  // Its entry comes behind the end of the other one.
  REQUIRE(
      site.RunUntil([&] { return Serves(site) && !server.arrivals.empty(); }));
  // More connections than the loop takes from the kernel in one turn, and more
  // bytes than it reads from one of them.
  const auto [count, size] =
      GENERATE(std::pair(1, 2), std::pair(200, 2), std::pair(4, 200'000));
  ScriptedAnswer answer;
  answer.later = SealedAnswer(std::string(size, 'a')).bytes;
  answer.delay = Milliseconds(400);
  server.script.assign(count, answer);
  const std::size_t before = server.arrivals.size();
  const auto callers = AskMany(site, count);
  REQUIRE(site.RunUntil(
      [&] { return server.arrivals.size() == before + callers.size(); }));
  site.process->Signal(SIGSTOP);
  site.RunFor(Milliseconds(1300));
  site.process->Signal(SIGCONT);
  site.RunUntil([&] {
    return std::ranges::all_of(
        callers, [](const auto& caller) { return caller->parser.done(); });
  });
  const auto whole = std::ranges::count_if(
      callers, [size = static_cast<std::size_t>(size)](const auto& caller) {
        return caller->parser.done() && caller->parser.head().status == 200 &&
               caller->parser.TakeBody().size() == size;
      });
  CHECK(whole == count);
}

// Guards against a request that fails because the host had not read yet that
// the server closed the connection.
TEST_CASE("a request is not sent on a connection that its server has closed") {
  RelayProcess site(Seconds(8));
  std::string config = ConfigText(2, "\"k1\"");
  const std::string attempts = R"("service":"ledger","attempts":2)";
  const std::size_t at = config.find(attempts);
  REQUIRE(at != std::string::npos);
  config.replace(at, attempts.size(), R"("service":"ledger","attempts":1)");
  site.store.Put("keyed.op", "config", config);
  site.RunFor(Milliseconds(1200));
  std::vector<std::unique_ptr<Caller>> callers(6);
  for (auto& caller : callers) {
    caller = std::make_unique<Caller>(site.loop, site.settings.callers);
  }
  const auto ask = [&callers] {
    for (const auto& caller : callers) {
      caller->parser = ResponseParser(true);
      caller->connection->Write(Request("GET", "/s/x", "r"));
    }
  };
  const auto all_answered = [&callers] {
    return std::ranges::all_of(
        callers, [](const auto& caller) { return caller->parser.done(); });
  };
  // Leaves an idle connection for each caller.
  ask();
  REQUIRE(site.RunUntil(all_answered));
  site.process->Signal(SIGSTOP);
  site.first.CloseSessions();
  ask();
  site.RunFor(Milliseconds(50));
  site.process->Signal(SIGCONT);
  REQUIRE(site.RunUntil(all_answered));
  for (const auto& caller : callers) {
    CHECK(caller->parser.head().status == 200);
  }
}

// The real program beside a model group of one rank with its agent.
struct GroupProcess : RelayProcess {
  EngineGroupStandIn group{this->loop,
                           {.ranks = 1, .sets = 1, .experts = 4, .places = 4}};
  std::unique_ptr<RankAgent> agent;

  GroupProcess() : RelayProcess(Seconds(8)) {
    RankAgentSettings agent_settings;
    agent_settings.process = "agent";
    agent_settings.listen = {"127.0.0.1", this->settings.report_port};
    agent_settings.metrics = {"127.0.0.1", 0};
    agent_settings.engine = {"127.0.0.1", this->group.Port(0)};
    this->agent = std::make_unique<RankAgent>(this->loop, agent_settings,
                                              platform::EngineCodec());
    REQUIRE(this->agent->Start());
    std::string config = ConfigText(2, "\"k1\"");
    const std::string plain = R"({"name":"ledger","max_conns":96})";
    config.replace(config.find(plain), plain.size(),
                   R"({"name":"ledger","max_conns":96,"engine":{"slots":6,)"
                   R"("sets":1,"places":4,"spare":1}})");
    this->store.Put("keyed.op", "config", config);
    this->RunFor(Milliseconds(1200));
  }
};

// Guards against a stream that is cut because the report that is read first
// after a pause was made before it.
TEST_CASE("a stream is not cut by a report from before a pause of the host") {
  GroupProcess site;
  ScriptedAnswer slow;
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Toucanhollow-Request-Id: {id}\r\n"
      "X-Toucanhollow-Response-Seal: seal\r\n"
      "Content-Type: text/event-stream\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  slow.bytes = head + "f\r\nid: 1\ndata: a\n\n\r\n";
  slow.later = "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
  slow.delay = Milliseconds(2600);
  site.first.script = {slow};
  Caller caller(site.loop, site.settings.callers);
  std::string request = Request("POST", "/m/x", "r1", "", "p");
  caller.connection->Write(request.replace(request.find("1500"), 4, "6000"));
  REQUIRE(site.RunUntil([&] { return caller.parser.head_done(); }));
  // The group pauses shortly, and its agent answers during that.
  site.group.still = true;
  site.RunFor(Milliseconds(200));
  std::this_thread::sleep_for(std::chrono::milliseconds(120));
  site.process->Signal(SIGSTOP);
  site.RunFor(Milliseconds(100));
  site.group.still = false;
  site.RunFor(Milliseconds(1800));
  site.process->Signal(SIGCONT);
  REQUIRE(site.RunUntil([&] { return caller.parser.done() || caller.ended; }));
  CHECK(caller.parser.done());
  CHECK(caller.parser.TakeBody() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

}  // namespace toucanhollow
