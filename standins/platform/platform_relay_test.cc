// The whole path on the platform's protocol: callers, the relay, the store and
// servers on one loop.
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "map_task/rank_agent.h"
#include "standins/platform/engine_group_stand_in.h"
#include "standins/platform/relay_site.h"
#include "standins/platform/socket_caller.h"

namespace toucanhollow {
namespace {

std::string StreamHead() {
  return "HTTP/1.1 200 OK\r\nX-Toucanhollow-Request-Id: {id}\r\n"
         "X-Toucanhollow-Response-Seal: seal\r\n"
         "Content-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string Chunk(const std::string& text) {
  constexpr std::string_view kHex = "0123456789abcdef";
  std::string size;
  size += kHex[text.size() / 16];
  size += kHex[text.size() % 16];
  return size + "\r\n" + text + "\r\n";
}

TEST_CASE("a request is relayed unchanged in both directions") {
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  site.first.script.push_back(SealedAnswer("the body"));
  const Answered answered = Ask(
      site, Request("POST", "/u/a%20b?q=%41", "r1", "X-Mine: 1\r\n", "fee"));
  CHECK(answered.status == 200);
  CHECK(answered.body == "the body");
  CHECK(FindHeader(answered.headers, "X-Toucanhollow-Response-Seal") == "seal");
  const RequestHead& head = site.first.heads.back();
  CHECK(head.target == "/u/a%20b?q=%41");
  CHECK(FindHeader(head.headers, "X-Mine") == "1");
  CHECK(FindHeader(head.headers, "X-Toucanhollow-Tenant-Id") == "acc");
  CHECK(FindHeader(head.headers, "Authorization").empty());
  CHECK(site.first.bodies.back() == "fee");
}

// Guards against promises that no configuration supports.
TEST_CASE("before its first configuration a host refuses with 503") {
  Site site;
  site.Start();
  site.RunFor(Milliseconds(300));
  const Answered answered = Ask(site, Request("GET", "/s/x", "r1"));
  CHECK(answered.status == 503);
  CHECK_FALSE(FindHeader(answered.headers, "Retry-After").empty());
  site.Configure();
  CHECK(Serves(site));
}

TEST_CASE("unknown routes and keys are refused by a confirmed configuration") {
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  CHECK(Ask(site, Request("GET", "/none/x", "r1")).status == 404);
  const std::string other =
      "GET /s/x HTTP/1.1\r\nHost: h\r\nX-Toucanhollow-Request-Id: r2\r\n"
      "Authorization: Token other\r\n\r\n";
  CHECK(Ask(site, other).status == 401);
  // Later the store is away: what is missing may exist by now.
  site.store.SetDown(true);
  site.RunFor(Milliseconds(6000));
  CHECK(Ask(site, Request("GET", "/none/x", "r3")).status == 503);
  CHECK(Ask(site, other).status == 503);
  CHECK(Ask(site, Request("GET", "/s/x", "r4")).status == 200);
}

// Guards against a host that is ready and refuses everyone, because it keeps
// more descriptors for other uses than it has.
TEST_CASE("a host with the fewest descriptors serves callers") {
  Site site;
  site.settings.max_descriptors = 64;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  CHECK(Ask(site, Request("GET", "/s/x", "r1")).status == 200);
}

// Guards against a second run of what may run once.
TEST_CASE("an unsafe request whose answer is lost ends as unknown") {
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  const std::string whole = SealedAnswer("fee").bytes;
  for (std::size_t cut = 0; cut < whole.size(); cut += 7) {
    ScriptedAnswer broken;
    broken.bytes = whole.substr(0, cut);
    broken.close = true;
    site.first.script.push_back(broken);
    const std::string id = "lost" + std::to_string(cut);
    const Answered answered = Ask(site, Request("POST", "/u/x", id, "", "b"));
    INFO("cut after " << cut << " bytes");
    CHECK(answered.status == 502);
    CHECK(site.first.runs[id] == 1);
  }
}

TEST_CASE("a safe request goes to another server after a broken answer") {
  // Servers are drawn, so that some of these meet the first one.
  constexpr std::size_t kAsked = 12;
  Site site;
  site.Configure();
  site.List("i-2", site.second, "ready");
  site.Start();
  REQUIRE(Serves(site));
  ScriptedAnswer broken;
  broken.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf";
  broken.close = true;
  for (std::size_t i = 0; i < kAsked; ++i) {
    site.first.script.push_back(broken);
  }
  for (std::size_t i = 0; i < kAsked; ++i) {
    CHECK(Ask(site, Request("GET", "/s/x", "s" + std::to_string(i))).status ==
          200);
  }
  // At least one of them met a broken answer first.
  CHECK(site.first.script.size() < kAsked);
}

// Guards against an answer that reaches another request's caller.
TEST_CASE("a late answer of an earlier request is skipped") {
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  ScriptedAnswer doubled = SealedAnswer("mine");
  doubled.bytes =
      "HTTP/1.1 200 OK\r\nX-Toucanhollow-Request-Id: other\r\n"
      "X-Toucanhollow-Response-Seal: x\r\nContent-Length: 6\r\n\r\nothers" +
      doubled.bytes;
  site.first.script.push_back(doubled);
  const Answered answered = Ask(site, Request("POST", "/u/x", "r1", "", "b"));
  CHECK(answered.status == 200);
  CHECK(answered.body == "mine");
}

// Guards against the same when the copy comes on a connection that is in use
// again, in two pieces cut anywhere.
TEST_CASE("a second copy of an answer reaches no later request") {
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  const std::string copy =
      "HTTP/1.1 200 OK\r\nX-Toucanhollow-Request-Id: warm\r\n"
      "X-Toucanhollow-Response-Seal: seal\r\nContent-Length: 2\r\n\r\nok";
  for (std::size_t cut = 1; cut <= copy.size(); cut += 8) {
    INFO("cut after " << cut << " bytes");
    ScriptedAnswer answer;
    answer.bytes = copy.substr(0, cut);
    answer.later = copy.substr(cut) + SealedAnswer("mine").bytes;
    answer.delay = Milliseconds(5);
    site.first.script.push_back(answer);
    const Answered answered =
        Ask(site, Request("GET", "/s/x", "c" + std::to_string(cut)));
    CHECK(answered.status == 200);
    CHECK(answered.body == "mine");
  }
}

// Guards against a promise "not run" that was made for an earlier request.
TEST_CASE("an answer without an id on a used connection is nobody's") {
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  ScriptedAnswer nobodys;
  nobodys.bytes =
      "HTTP/1.1 503 Service Unavailable\r\nX-Toucanhollow-Not-Executed: 1\r\n"
      "Content-Length: 0\r\n\r\n";
  // The connection of the request before is kept.
  site.first.script.push_back(nobodys);
  const int before = site.first.runs["n1"];
  const Answered answered = Ask(site, Request("GET", "/s/x", "n1"));
  CHECK(answered.status == 200);
  // It was sent a second time as an attempt that may have run.
  CHECK(site.first.runs["n1"] - before == 2);
}

// Guards against requests that wait until their deadline, and memory that
// grows, while a server sends what never ends.
TEST_CASE("answers without end are left") {
  const std::string stray =
      "HTTP/1.1 200 OK\r\nX-Toucanhollow-Request-Id: other\r\n"
      "X-Toucanhollow-Response-Seal: x\r\n\r\n";
  const std::string failure =
      "HTTP/1.1 500 Failed\r\nX-Toucanhollow-Request-Id: {id}\r\n"
      "X-Toucanhollow-Response-Seal: x\r\n";
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
      {"HTTP/1.1 200 OK\r\nX-A: ", "a"},
      {"", "no answer at all "},
      {stray, "others "},
      {"",
       "HTTP/1.1 204 No Content\r\nX-Toucanhollow-Request-Id: other\r\n\r\n"},
      {failure + "\r\n", "failed "},
      {failure + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n"},
  };
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  int number = 0;
  for (const auto& [begin, unit] : cases) {
    INFO("after '" << begin << "' without end '" << unit << "'");
    ScriptedAnswer answer;
    answer.bytes = begin;
    while (answer.endless.size() < 32768) {
      answer.endless += unit;
    }
    site.first.script.push_back(answer);
    const int closed = site.first.closed_by_caller;
    const TimePoint asked_at = EventLoop::Now();
    const Answered answered =
        Ask(site, Request("GET", "/s/x", "e" + std::to_string(number++)));
    // The second attempt is answered well before the route's 800 ms.
    CHECK(answered.status == 200);
    CHECK(EventLoop::Now() - asked_at < Milliseconds(600));
    CHECK(site.RunUntil([&] { return site.first.closed_by_caller > closed; }));
  }
}

TEST_CASE("a stream whose event has no end goes on at another server") {
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  ScriptedAnswer endless;
  endless.bytes =
      "HTTP/1.1 200 OK\r\nX-Toucanhollow-Request-Id: {id}\r\n"
      "X-Toucanhollow-Response-Seal: seal\r\n"
      "Content-Type: text/event-stream\r\n\r\n"
      "id: 1\ndata: a\n\nid: 2\ndata: ";
  endless.endless = std::string(32768, 'b');
  ScriptedAnswer rest;
  rest.bytes = StreamHead() + Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
  site.first.script.push_back(endless);
  site.first.script.push_back(rest);
  const Answered answered = Ask(site, Request("POST", "/m/x", "r1", "", "p"));
  CHECK(answered.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

TEST_CASE("a success without the server's seal is no answer") {
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  ScriptedAnswer unsealed;
  unsealed.bytes =
      "HTTP/1.1 200 OK\r\nX-Toucanhollow-Request-Id: {id}\r\n"
      "Content-Length: 2\r\n\r\nno";
  site.first.script.push_back(unsealed);
  CHECK(Ask(site, Request("POST", "/u/x", "r1", "", "b")).status == 502);
}

// Guards against a promise "not run" for a request that ran.
TEST_CASE("only a server's own statement makes a sent request not run") {
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  ScriptedAnswer full;
  full.bytes =
      "HTTP/1.1 503 Service Unavailable\r\nX-Toucanhollow-Request-Id: {id}\r\n"
      "X-Toucanhollow-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  full.runs = false;
  site.first.script.push_back(full);
  const Answered refused = Ask(site, Request("POST", "/u/x", "r1", "", "b"));
  CHECK(refused.status == 503);
  CHECK_FALSE(FindHeader(refused.headers, "Retry-After").empty());
  ScriptedAnswer failed = SealedAnswer("");
  failed.bytes.replace(0, 15, "HTTP/1.1 503 OK");
  site.first.script.push_back(failed);
  const Answered ran = Ask(site, Request("POST", "/u/x", "r2", "", "b"));
  CHECK(ran.status == 503);
  CHECK(FindHeader(ran.headers, "X-Toucanhollow-Response-Seal") == "seal");
}

// Guards against events that are lost, doubled or cut when a stream goes on at
// another server.
TEST_CASE("a stream that breaks off goes on after its last whole event") {
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  ScriptedAnswer broken;
  broken.bytes = StreamHead() + Chunk("id: 1\ndata: a\n\nid: 2\nda");
  broken.close = true;
  ScriptedAnswer rest;
  rest.bytes = StreamHead() + Chunk("id: 2\ndata: b\n\nid: 3\ndata: c\n\n") +
               "0\r\n\r\n";
  site.first.script.push_back(broken);
  site.first.script.push_back(rest);
  const Answered answered = Ask(site, Request("POST", "/m/x", "r1", "", "p"));
  CHECK(answered.status == 200);
  CHECK(answered.body ==
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  CHECK(site.first.runs["r1"] == 2);
  CHECK(FindHeader(site.first.heads.back().headers, "Last-Event-Id") == "1");
}

// Guards against streams of sound servers that are cut because their ids jump.
TEST_CASE("a stream whose ids jump is passed on whole") {
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  const std::string first = "id: 2\ndata: a b\n\nid: 6\ndata: c\n\n";
  const std::string second = "id: 8\r\ndata: d\r\n\r\n";
  const bool breaks = GENERATE(false, true);
  ScriptedAnswer begin;
  begin.bytes =
      StreamHead() + Chunk(first) + (breaks ? "" : Chunk(second) + "0\r\n\r\n");
  begin.close = breaks;
  ScriptedAnswer rest;
  rest.bytes = StreamHead() + Chunk(second) + "0\r\n\r\n";
  site.first.script = {begin, rest};
  const Answered answered = Ask(site, Request("POST", "/m/x", "r1", "", "p"));
  CHECK(answered.status == 200);
  CHECK(answered.body == first + second);
  CHECK(site.first.runs["r1"] == (breaks ? 2 : 1));
}

// Guards against further runs of a stream that no server can complete, and
// against an end that looks complete.
TEST_CASE("a stream whose ids decrease is not resumed") {
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  ScriptedAnswer answer;
  answer.bytes = StreamHead() + Chunk("id: 3\ndata: c\n\n") +
                 Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
  site.first.script = {answer, answer};
  Caller caller(site.loop, site.settings.callers);
  caller.connection->Write(Request("POST", "/m/x", "r1", "", "p"));
  CHECK(site.RunUntil([&] { return caller.ended; }));
  CHECK_FALSE(caller.parser.done());
  CHECK(caller.parser.TakeBody() == "id: 3\ndata: c\n\n");
  CHECK(site.first.runs["r1"] == 1);
}

// Guards against work that goes on for a caller that has left.
TEST_CASE("a caller that leaves ends the work at the server") {
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  ScriptedAnswer slow;
  slow.bytes = StreamHead() + Chunk("id: 1\ndata: a\n\n");
  slow.later = "0\r\n\r\n";
  slow.delay = Seconds(5);
  site.first.script.push_back(slow);
  const int before = site.first.closed_by_caller;
  {
    Caller caller(site.loop, site.settings.callers.port);
    caller.connection->Write(Request("POST", "/m/x", "r1", "", "p"));
    REQUIRE(site.RunUntil([&] { return site.first.runs["r1"] == 1; }));
  }
  CHECK(site.RunUntil([&] { return site.first.closed_by_caller > before; },
                      Milliseconds(500)));
}

// Guards against a caller that waits beyond the route's time.
TEST_CASE("a silent server ends as unknown at the route's time") {
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  site.first.script.push_back({});
  const TimePoint begin = EventLoop::Now();
  CHECK(Ask(site, Request("POST", "/u/x", "r1", "", "b")).status == 504);
  const Duration took = EventLoop::Now() - begin;
  CHECK(took >= Milliseconds(790));
  CHECK(took < Milliseconds(1050));
}

TEST_CASE("a draining server gets nothing new") {
  Site site;
  site.Configure();
  site.List("i-2", site.second, "ready");
  site.Start();
  REQUIRE(Serves(site));
  site.List("i-1", site.first, "draining");
  site.RunFor(Milliseconds(1500));
  const std::size_t before = site.first.heads.size();
  for (int i = 0; i < 6; ++i) {
    CHECK(Ask(site, Request("GET", "/s/x", "d" + std::to_string(i))).status ==
          200);
  }
  CHECK(site.first.heads.size() == before);
}

TEST_CASE("an evacuated data centre gets nothing until it is taken back") {
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  site.store.Put("keyed.op", "evacuate/west", "{}");
  site.RunFor(Milliseconds(400));
  CHECK(Ask(site, Request("GET", "/s/x", "e1")).status == 503);
  site.store.Put("keyed.op", "evacuate/west", std::nullopt);
  CHECK(Serves(site));
}

// Guards against a host that stops following after the history is dropped.
TEST_CASE("a key is taken away also when the history was dropped") {
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  site.store.SetDown(true);
  site.RunFor(Milliseconds(500));
  site.store.Put("keyed.op", "config", ConfigText(2, "\"k2\""));
  site.store.Compact("keyed.op");
  site.store.SetDown(false);
  CHECK(site.RunUntil([&site] {
    return Ask(site, Request("GET", "/s/x", "k")).status == 401;
  }));
}

TEST_CASE("bad input is answered by its cause") {
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  CHECK(Ask(site, "GET /s/x HTTP/1.1\r\n\r\n").status == 400);
  CHECK(Ask(site, "GET /s/x HTTP/1.1\r\nHost: h\r\n\r\n").status == 400);
  CHECK(
      Ask(site, Request("GET", "/s/" + std::string(5000, 'a'), "r1")).status ==
      431);
  CHECK(Ask(site, Request("POST", "/u/x", "r2", "", std::string(2000, 'b')))
            .status == 413);
  CHECK(Ask(site, "GET /s/x HTTP/1.1\r\nHost: h\r\n").status == 408);
  CHECK(site.first.runs["r1"] + site.first.runs["r2"] == 0);
}

// Guards against a request that is hidden in the body of another one.
TEST_CASE("requests with an unclear length are not run and end the session") {
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  const std::size_t ran_before = site.first.runs.size();
  const std::string hidden = Request("POST", "/u/x", "hidden", "", "payment");
  const std::string chunk = "3\r\nabc\r\n0\r\n\r\n";
  for (const auto& [status, framing] : std::vector<std::pair<int, std::string>>{
           {400, "Transfer-Encoding: gzip\r\n"},
           {400, "Transfer-Encoding: identity\r\n"},
           {400, "Transfer-Encoding: chunked, gzip\r\n"},
           {400, "Transfer-Encoding: xchunked\r\n"},
           {400, "Transfer-Encoding: chunked,\r\n"},
           {400, "Content-Length: 3, 3\r\n"},
           {501, "Transfer-Encoding: gzip;level=9, chunked\r\n"}}) {
    INFO(framing);
    Caller caller(site.loop, site.settings.callers.port);
    caller.connection->Write(Request("POST", "/u/x", "outer", framing) +
                             (status == 400 ? "" : chunk) + hidden);
    REQUIRE(site.RunUntil([&] { return caller.parser.done(); }));
    CHECK(caller.parser.head().status == status);
    CHECK(FindHeader(caller.parser.head().headers, "Connection") == "close");
    // What arrives after the response is not read as a request either.
    caller.connection->Write(hidden);
    CHECK(site.RunUntil([&] { return caller.ended; }));
    CHECK(site.first.runs.size() == ran_before);
  }
}

// Guards against an answer in flight that a stopping host cuts, and against a
// kept connection that closes although no answer announced it.
TEST_CASE("a stopping host finishes what it took") {
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  ScriptedAnswer slow;
  slow.bytes = StreamHead() + Chunk("id: 1\ndata: a\n\n");
  slow.later = Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
  slow.delay = Milliseconds(400);
  site.first.script.push_back(slow);
  Caller caller(site.loop, site.settings.callers.port);
  caller.connection->Write(Request("POST", "/m/x", "r1", "", "p"));
  REQUIRE(site.RunUntil([&] { return caller.parser.head_done(); }));
  bool stopped = false;
  site.host->Shutdown([&stopped] { stopped = true; });
  REQUIRE(site.RunUntil([&] { return caller.parser.done(); }));
  CHECK(caller.parser.TakeBody() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  // The head of that answer left before the stop and announced no close.
  site.RunFor(Milliseconds(700));
  CHECK_FALSE(caller.ended);
  caller.parser = ResponseParser(true);
  caller.connection->Write(Request("GET", "/s/x", "r2"));
  REQUIRE(site.RunUntil([&] { return caller.parser.done(); }));
  CHECK(caller.parser.head().status == 200);
  CHECK(FindHeader(caller.parser.head().headers, "Connection") == "close");
  CHECK(site.RunUntil([&stopped] { return stopped; }));
}

// A site whose service is a model group of one rank.
struct RankSite : Site {
  EngineGroupStandIn group{this->loop,
                           {.ranks = 1, .sets = 1, .experts = 4, .places = 4}};
  std::unique_ptr<RankAgent> agent;

  RankSite() {
    // Agents listen on the host's port for reports, at their own addresses.
    this->settings.control.ip = "127.0.0.3";
    std::string config = ConfigText(1, "\"k1\"");
    const std::string plain = R"({"name":"ledger","max_conns":96})";
    config.replace(config.find(plain), plain.size(),
                   R"({"name":"ledger","max_conns":96,"engine":{"slots":6,)"
                   R"("sets":1,"places":4,"spare":1}})");
    this->store.Put("keyed.op", "config", config);
    this->List("i-1", this->first, "ready");
    this->StartAgent(this->group.Port(0));
    this->first.report = [this] { return this->group.Report(0); };
  }

  // Starts an agent in place of the present one.
  void StartAgent(std::uint16_t engine_port) {
    this->agent.reset();
    RankAgentSettings agent_settings;
    agent_settings.process = "agent";
    agent_settings.listen = {"127.0.0.1", this->settings.report_port};
    agent_settings.metrics = {"127.0.0.1", 0};
    agent_settings.engine = {"127.0.0.1", engine_port};
    this->agent = std::make_unique<RankAgent>(this->loop, agent_settings,
                                              platform::EngineCodec());
    REQUIRE(this->agent->Start());
  }

  // The machine of the engine and its agent does not run any more.
  void StandStill() {
    this->agent.reset();
    this->first.report = nullptr;
  }
};

// Begins a stream that gets one event, stops the group, and checks that the
// stream ends before callers leave after 2 s, but not before the server's own
// end of stalled work after 1.5 s.
template <typename Stop>
void CheckSilentStreamEnds(RankSite& site, Stop stop) {
  site.Start();
  REQUIRE(Serves(site));
  ScriptedAnswer silent;
  silent.bytes = StreamHead() + Chunk("id: 1\ndata: a\n\n");
  // Bytes that are no event are no progress.
  silent.later = Chunk(": nothing");
  silent.delay = Milliseconds(700);
  site.first.script.push_back(silent);
  const int closed = site.first.closed_by_caller;
  Caller caller(site.loop, site.settings.callers.port);
  // The deadline is later than the end that is looked for.
  std::string request = Request("POST", "/m/x", "r1", "", "p");
  request.replace(request.find("1500"), 4, "6000");
  caller.connection->Write(request);
  REQUIRE(site.RunUntil([&] { return caller.parser.head_done(); }));
  const TimePoint silent_since = EventLoop::Now();
  stop();
  CHECK(site.RunUntil([&] { return caller.ended; }));
  CHECK(EventLoop::Now() - silent_since < Milliseconds(2000));
  CHECK(EventLoop::Now() - silent_since >= Milliseconds(1500));
  CHECK_FALSE(caller.parser.done());
  CHECK(site.RunUntil([&] { return site.first.closed_by_caller > closed; }));
}

// Callers that connect every few ms until shortly before the listener of a
// stopping host ends. Returns nothing if the loop stood still meanwhile, so
// that callers connected later than they should.
std::optional<std::vector<std::unique_ptr<Caller>>> ConnectUntilListenerEnds(
    Site& site,
    TimePoint stopped_at) {
  constexpr Duration kMaxTurn = Milliseconds(50);
  std::vector<std::unique_ptr<Caller>> callers;
  TimePoint turn_began = EventLoop::Now();
  while (turn_began - stopped_at < Milliseconds(2550)) {
    site.RunFor(Milliseconds(10));
    if (turn_began - stopped_at > Milliseconds(2300)) {
      callers.push_back(
          std::make_unique<Caller>(site.loop, site.settings.callers.port));
      callers.back()->connection->Write(
          Request("GET", "/s/x", "late" + std::to_string(callers.size())));
      if (EventLoop::Now() - turn_began > kMaxTurn) {
        return std::nullopt;
      }
    }
    turn_began = EventLoop::Now();
  }
  return callers;
}

// Returns false if the machine was too busy for a judgement.
bool CheckStopUnderLoad() {
  Site site;
  site.settings.grace = Milliseconds(6000);
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  const std::string whole = Request("POST", "/u/x", "half", "", "the body");
  Caller half(site.loop, site.settings.callers.port);
  half.connection->Write(whole.substr(0, whole.size() - 4));
  // Two requests in one write, the second without waiting for an answer.
  Caller pipelined(site.loop, site.settings.callers.port);
  pipelined.connection->Write(Request("GET", "/s/x", "p1") +
                              Request("GET", "/s/x", "p2"));
  site.RunFor(Milliseconds(20));
  bool stopped = false;
  site.host->Shutdown([&stopped] { stopped = true; });
  // The balancer stops new connections after two failed probes. Around the
  // listener's end, callers connect every few ms.
  const auto late = ConnectUntilListenerEnds(site, EventLoop::Now());
  if (!late) {
    return false;
  }
  site.RunFor(Milliseconds(300));
  // The rest of the body comes after the listener has ended.
  half.connection->Write(whole.substr(whole.size() - 4));
  CHECK(site.RunUntil([&half] { return half.parser.done(); }));
  CHECK(half.parser.head().status == 200);
  REQUIRE(pipelined.parser.done());
  ResponseParser second(true);
  second.Feed(pipelined.parser.TakeUnparsedBytes());
  CHECK(second.done());
  std::size_t answered = 0;
  for (const auto& caller : *late) {
    answered += caller->parser.done() ? 1 : 0;
  }
  CHECK(late->size() > 5);
  CHECK(answered == late->size());
  CHECK(site.RunUntil([&stopped] { return stopped; }));
  return true;
}

// Guards against requests that were accepted just before a planned stop, or are
// still being read, and are cut without an answer.
TEST_CASE("a stop under load answers every request that was begun") {
  constexpr int kTries = 5;
  bool judged = false;
  for (int i = 0; i < kTries && !judged; ++i) {
    judged = CheckStopUnderLoad();
  }
  CHECK(judged);
}

// Guards against streams that keep a silent server until their callers leave:
// the server then goes on for callers that are gone.
TEST_CASE("a silent stream ends when its model group stands") {
  RankSite site;
  CheckSilentStreamEnds(site, [&site] { site.group.open = false; });
}

// Guards against the same while a machine of the group does not move: the group
// says that it is open, and begins no pass.
TEST_CASE("a silent stream ends when its model group begins no pass") {
  RankSite site;
  CheckSilentStreamEnds(site, [&site] { site.group.still = true; });
}

struct Dripping {
  // What the server writes first, and then every 100 ms.
  std::string begin;
  std::string unit;
};

// Guards against a request that is held open by bytes that bring its caller no
// new event, beyond the limit on silence if its group stands, and otherwise
// beyond its route's time.
TEST_CASE("bytes that make no new event are no progress") {
  const std::string event = "id: 1\ndata: a\n\n";
  const std::string unframed =
      "HTTP/1.1 200 OK\r\nX-Toucanhollow-Request-Id: {id}\r\n"
      "X-Toucanhollow-Response-Seal: seal\r\n"
      "Content-Type: text/event-stream\r\n\r\n";
  const auto dripping = GENERATE_COPY(
      Dripping{unframed + event, "d"}, Dripping{unframed + event, "\n"},
      Dripping{unframed + event, ": x\n"},
      Dripping{StreamHead() + Chunk(event), Chunk(": x\n\n")},
      Dripping{StreamHead() + Chunk(event), Chunk(event)},
      Dripping{StreamHead() + Chunk(event) + "1;", "e"},
      Dripping{"", "HTTP/1.1 102 Processing\r\n\r\n"},
      Dripping{"HTTP/1.1 200 OK\r\nX-A: ", "a"});
  const bool stands = GENERATE(true, false);
  INFO("after '" << dripping.begin << "' again and again '" << dripping.unit
                 << "', group stands: " << stands);
  RankSite site;
  site.Start();
  REQUIRE(Serves(site));
  ScriptedAnswer answer;
  answer.bytes = dripping.begin;
  answer.piece = [unit = dripping.unit](int) { return unit; };
  answer.delay = Milliseconds(100);
  site.first.script.push_back(answer);
  const int closed = site.first.closed_by_caller;
  Caller caller(site.loop, site.settings.callers.port);
  std::string request = Request("POST", "/m/x", "r1", "", "p");
  caller.connection->Write(request.replace(request.find("1500"), 4, "6000"));
  const TimePoint asked_at = EventLoop::Now();
  REQUIRE(site.RunUntil([&] { return site.first.runs.contains("r1"); }));
  site.group.open = !stands;
  CHECK(site.RunUntil([&] { return caller.parser.done() || caller.ended; }));
  const Duration lasted = EventLoop::Now() - asked_at;
  CHECK(lasted >= Milliseconds(stands ? 1500 : 2900));
  CHECK(lasted < Milliseconds(stands ? 2000 : 3400));
  const bool begun = dripping.begin.find(event) != std::string::npos;
  CHECK(caller.parser.done() == !begun);
  if (!begun) {
    CHECK(caller.parser.head().status == (stands ? 502 : 504));
  }
  CHECK(site.RunUntil([&] { return site.first.closed_by_caller > closed; }));
}

// Guards against work for a caller that leaves while the machine of its server
// stands still, which cannot be told so: the group says that it executes
// passes.
TEST_CASE(
    "a request ends before its caller leaves a machine that stands still") {
  RankSite site;
  site.Start();
  REQUIRE(Serves(site));
  const bool begun = GENERATE(false, true);
  ScriptedAnswer silent;
  if (begun) {
    silent.bytes = StreamHead() + Chunk("id: 1\ndata: a\n\n");
  }
  silent.later = Chunk(": nothing");
  silent.delay = Seconds(60);
  site.first.script.push_back(silent);
  const int closed = site.first.closed_by_caller;
  Caller caller(site.loop, site.settings.callers.port);
  std::string request = Request("POST", "/m/x", "r1", "", "p");
  caller.connection->Write(request.replace(request.find("1500"), 4, "6000"));
  const TimePoint asked_at = EventLoop::Now();
  REQUIRE(site.RunUntil([&] {
    return begun ? caller.parser.head_done() : site.first.runs.contains("r1");
  }));
  site.RunFor(Milliseconds(800));
  site.StandStill();
  CHECK(site.RunUntil([&] { return caller.parser.done() || caller.ended; }));
  CHECK(EventLoop::Now() - asked_at < Milliseconds(2000));
  CHECK(EventLoop::Now() - asked_at >= Milliseconds(1500));
  CHECK(caller.parser.done() == !begun);
  if (!begun) {
    CHECK(caller.parser.head().status == 502);
  }
  CHECK(site.RunUntil([&] { return site.first.closed_by_caller > closed; }));
}

// Guards against an answer that is cut because only the agent beside its server
// does not run.
TEST_CASE("a request is left to its server while the agent starts again") {
  RankSite site;
  site.Start();
  REQUIRE(Serves(site));
  ScriptedAnswer slow;
  slow.bytes = StreamHead() + Chunk("id: 1\ndata: a\n\n");
  slow.later = Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
  slow.delay = Milliseconds(1800);
  site.first.script.push_back(slow);
  Caller caller(site.loop, site.settings.callers.port);
  std::string request = Request("POST", "/m/x", "r1", "", "p");
  caller.connection->Write(request.replace(request.find("1500"), 4, "6000"));
  REQUIRE(site.RunUntil([&] { return caller.parser.head_done(); }));
  site.RunFor(Milliseconds(1000));
  site.agent.reset();
  CHECK(site.RunUntil([&] { return caller.parser.done() || caller.ended; }));
  CHECK(caller.parser.done());
  CHECK(caller.parser.TakeBody() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against an answer that is cut because its engine takes longer for a
// report than the agent beside it waits.
TEST_CASE("a request is left to its server while reports come late") {
  RankSite site;
  site.Start();
  REQUIRE(Serves(site));
  ScriptedAnswer slow;
  slow.bytes = StreamHead() + Chunk("id: 1\ndata: a\n\n");
  slow.later = Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
  slow.delay = Milliseconds(1800);
  site.first.script.push_back(slow);
  Caller caller(site.loop, site.settings.callers.port);
  std::string request = Request("POST", "/m/x", "r1", "", "p");
  caller.connection->Write(request.replace(request.find("1500"), 4, "6000"));
  REQUIRE(site.RunUntil([&] { return caller.parser.head_done(); }));
  site.first.report_delay = Milliseconds(100);
  site.StartAgent(site.first.Port());
  CHECK(site.RunUntil([&] { return caller.parser.done() || caller.ended; }));
  CHECK(caller.parser.done());
  CHECK(caller.parser.TakeBody() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against time that a request waited for room and its caller did too,
// and that is left out of the limit on silence.
TEST_CASE("the limit on silence counts from the arrival of the request") {
  RankSite site;
  site.Start();
  REQUIRE(Serves(site));
  constexpr int kSlots = 6;
  ScriptedAnswer silent;
  silent.later = " ";
  silent.delay = Seconds(60);
  std::vector<std::unique_ptr<Caller>> first;
  for (int i = 0; i < kSlots; ++i) {
    site.first.script.push_back(silent);
    first.push_back(
        std::make_unique<Caller>(site.loop, site.settings.callers.port));
    std::string request =
        Request("POST", "/m/x", "r" + std::to_string(i), "", "p");
    first.back()->connection->Write(
        request.replace(request.find("1500"), 4, "9000"));
  }
  REQUIRE(site.RunUntil([&] { return site.first.runs.contains("r5"); }));
  site.first.script.push_back(silent);
  // A shorter deadline is that of a caller that returns, which waits longer.
  Caller caller(site.loop, site.settings.callers.port);
  std::string request = Request("POST", "/m/x", "late", "", "p");
  caller.connection->Write(request.replace(request.find("1500"), 4, "6000"));
  const TimePoint asked_at = EventLoop::Now();
  site.RunFor(Milliseconds(1000));
  CHECK_FALSE(site.first.runs.contains("late"));
  first.clear();
  REQUIRE(site.RunUntil([&] { return site.first.runs.contains("late"); }));
  const bool group_stands = GENERATE(false, true);
  site.group.open = !group_stands;
  if (!group_stands) {
    site.StandStill();
  }
  CHECK(site.RunUntil([&] { return caller.parser.done() || caller.ended; }));
  CHECK(caller.parser.done());
  CHECK(caller.parser.head().status == 502);
  CHECK(EventLoop::Now() - asked_at < Milliseconds(2000));
}

// Guards against a stream that a stopping host cuts for a silence of its
// server, though the grace time is not over and its caller still waits.
TEST_CASE("a silent stream of a stopping host is left to its server") {
  RankSite site;
  site.settings.grace = Milliseconds(6000);
  site.Start();
  REQUIRE(Serves(site));
  ScriptedAnswer slow;
  slow.bytes = StreamHead() + Chunk("id: 1\ndata: a\n\n");
  slow.later = Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
  slow.delay = Milliseconds(1900);
  site.first.script.push_back(slow);
  Caller caller(site.loop, site.settings.callers.port);
  std::string request = Request("POST", "/m/x", "r1", "", "p");
  caller.connection->Write(request.replace(request.find("1500"), 4, "6000"));
  REQUIRE(site.RunUntil([&] { return caller.parser.head_done(); }));
  const bool stands = GENERATE(false, true);
  site.group.still = !stands;
  site.group.open = !stands;
  bool stopped = false;
  site.host->Shutdown([&stopped] { stopped = true; });
  CHECK(site.RunUntil([&] { return caller.parser.done() || caller.ended; }));
  CHECK(caller.parser.done());
  CHECK(caller.parser.TakeBody() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK(site.RunUntil([&stopped] { return stopped; }));
}

// Guards against a stream that is cut although its caller waits much longer for
// an event: four times the target latency of the route.
TEST_CASE("a silent stream is left as long as its caller waits") {
  RankSite site;
  std::string config = ConfigText(2, "\"k1\"");
  const auto replace = [&config](const std::string& from,
                                 const std::string& to) {
    config.replace(config.find(from), from.size(), to);
  };
  replace(R"({"name":"ledger","max_conns":96})",
          R"({"name":"ledger","max_conns":96,"engine":{"slots":6,)"
          R"("sets":1,"places":4,"spare":1}})");
  replace(R"("timeout_ms":3000,"target_latency_ms":400)",
          R"("timeout_ms":8000,"target_latency_ms":1000)");
  site.store.Put("keyed.op", "config", config);
  site.Start();
  REQUIRE(Serves(site));
  ScriptedAnswer slow;
  slow.bytes = StreamHead() + Chunk("id: 1\ndata: a\n\n");
  slow.later = Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
  const bool in_time = GENERATE(true, false);
  slow.delay = in_time ? Milliseconds(2800) : Seconds(60);
  site.first.script.push_back(slow);
  Caller caller(site.loop, site.settings.callers.port);
  std::string request = Request("POST", "/m/x", "r1", "", "p");
  caller.connection->Write(request.replace(request.find("1500"), 4, "8000"));
  REQUIRE(site.RunUntil([&] { return caller.parser.head_done(); }));
  const TimePoint silent_since = EventLoop::Now();
  site.group.still = true;
  CHECK(site.RunUntil([&] { return caller.parser.done() || caller.ended; }));
  CHECK(caller.parser.done() == in_time);
  CHECK(EventLoop::Now() - silent_since < Milliseconds(4000));
}

// Guards against a slow but sound stream that is cut: its events are just under
// the time that callers wait, and it lasts longer than any idle time.
TEST_CASE("a slow stream of a group that makes passes is not cut") {
  RankSite site;
  site.Start();
  REQUIRE(Serves(site));
  ScriptedAnswer slow;
  slow.bytes = StreamHead() + Chunk("id: 1\ndata: a\n\n");
  slow.later = Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
  slow.delay = Milliseconds(1900);
  site.first.script.push_back(slow);
  std::string request = Request("POST", "/m/x", "r1", "", "p");
  request.replace(request.find("1500"), 4, "6000");
  const Answered answered = Ask(site, request);
  CHECK(answered.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against the same beyond every idle time of callers' and servers'
// connections, through a caller that reads seldom, and against a stream that is
// cut because only its server's reports do not come.
TEST_CASE("a stream with events just under the limits lasts for its time") {
  constexpr int kEvents = 5;
  RankSite site;
  std::string config = ConfigText(2, "\"k1\"");
  const auto replace = [&config](const std::string& from,
                                 const std::string& to) {
    config.replace(config.find(from), from.size(), to);
  };
  replace(R"({"name":"ledger","max_conns":96})",
          R"({"name":"ledger","max_conns":96,"engine":{"slots":6,)"
          R"("sets":1,"places":4,"spare":1}})");
  replace(R"("timeout_ms":3000)", R"("timeout_ms":12000)");
  replace(R"("idle_timeout_ms":15000)", R"("idle_timeout_ms":1000)");
  site.store.Put("keyed.op", "config", config);
  site.Start();
  REQUIRE(Serves(site));
  const bool reports_come = GENERATE(true, false);
  INFO("reports come: " << reports_come);
  std::string events;
  const auto make_event = [](int number) {
    return "id: " + std::to_string(number) +
           "\ndata: " + std::string(20'000, 'a') + "\n\n";
  };
  for (int i = 0; i <= kEvents; ++i) {
    events += make_event(i);
  }
  ScriptedAnswer slow;
  slow.bytes =
      "HTTP/1.1 200 OK\r\nX-Toucanhollow-Request-Id: {id}\r\n"
      "X-Toucanhollow-Response-Seal: seal\r\nContent-Length: " +
      std::to_string(events.size()) +
      "\r\nContent-Type: text/event-stream\r\n\r\n" + make_event(0);
  slow.piece = [make_event](int number) {
    return number < kEvents ? make_event(number + 1) : std::string();
  };
  // Callers leave after 2 s; a silent machine ends a request after 1.6 s.
  slow.delay = Milliseconds(reports_come ? 1900 : 1450);
  site.first.script.push_back(slow);
  SocketCaller caller(site.settings.callers);
  std::string request = Request("POST", "/m/x", "r1", "", "p");
  REQUIRE(caller.Send(request.replace(request.find("1500"), 4, "15000")));
  REQUIRE(site.RunUntil([&] { return site.first.runs.contains("r1"); }));
  if (!reports_come) {
    site.StandStill();
  }
  const TimePoint limit = EventLoop::Now() + Seconds(12);
  while (!caller.parser.done() && caller.end() == SocketCaller::End::kOpen &&
         EventLoop::Now() < limit) {
    site.RunFor(Milliseconds(600));
    caller.Poll();
  }
  CHECK(caller.status() == 200);
  const bool whole = caller.parser.TakeBody() == events;
  CHECK(whole);
}

int StatusWithKey(Site& site, const std::string& key) {
  std::string request = Request("GET", "/s/x", "r");
  const std::string sent = "Token k1";
  request.replace(request.find(sent), sent.size(), "Token " + key);
  return Ask(site, request).status;
}

// Guards against a host that serves every key after the last account was taken
// away.
TEST_CASE("no key is served after the last account was removed") {
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  std::string config = ConfigText(2, "");
  const std::string tenants = R"("tenants":[{"name":"acc","api_keys":[]}])";
  config.replace(config.find(tenants), tenants.size(), R"("tenants":[])");
  site.store.Put("keyed.op", "config", config);
  CHECK(site.RunUntil([&] { return StatusWithKey(site, "k1") == 401; },
                      Seconds(1)));
  CHECK(StatusWithKey(site, "other") == 401);
}

// Guards against refusing keys for good by a configuration that has a newer
// version, and against serving by one that cannot be read.
TEST_CASE("a configuration that cannot be read leaves the last one in force") {
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  CHECK(StatusWithKey(site, "k2") == 401);
  std::string config = ConfigText(2, "\"k2\"");
  const std::string tenants = R"("tenants":[{"name":"acc","api_keys":["k2"]}])";
  config.replace(config.find(tenants), tenants.size(), R"("tenants":null)");
  site.store.Put("keyed.op", "config", config);
  // The refused version may hold this key.
  CHECK(site.RunUntil([&] { return StatusWithKey(site, "k2") == 503; }));
  CHECK(StatusWithKey(site, "k1") == 200);
  site.store.Put("keyed.op", "config", ConfigText(3, "\"k2\""));
  CHECK(site.RunUntil([&] { return StatusWithKey(site, "k2") == 200; }));
  CHECK(StatusWithKey(site, "k1") == 401);
}

// Guards against an evacuation that is passed over because of its content.
TEST_CASE("any record of an evacuation takes the data centre out") {
  for (const std::string content : {"{}", "null", "[]", "\x01"}) {
    INFO(content);
    Site site;
    site.Configure();
    site.Start();
    REQUIRE(Serves(site));
    site.store.Put("keyed.op", "evacuate/west", content);
    CHECK(site.RunUntil(
        [&] { return Ask(site, Request("GET", "/s/x", "r")).status == 503; }));
    site.store.Put("keyed.op", "evacuate/west", std::nullopt);
    CHECK(Serves(site));
  }
}

}  // namespace
}  // namespace toucanhollow
