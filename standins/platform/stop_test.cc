// Requests around a planned stop of an entry host: each that the host has read
// gets a whole answer or a true refusal.
#include <thread>

#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "standins/platform/relay_site.h"
#include "standins/platform/socket_caller.h"

namespace toucanhollow {
namespace {

// A deadline beyond each grace time that is used here.
constexpr std::string_view kLongDeadline = "6000";

std::string LongRequest(const std::string& method,
                        const std::string& target,
                        const std::string& id,
                        const std::string& more = "",
                        const std::string& body = "") {
  std::string request = Request(method, target, id, more, body);
  request.replace(request.find("1500"), 4, kLongDeadline);
  return request;
}

std::string StreamHead() {
  return "HTTP/1.1 200 OK\r\nX-Toucanhollow-Request-Id: {id}\r\n"
         "X-Toucanhollow-Response-Seal: seal\r\n"
         "Content-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string FirstEvent() {
  return "f\r\nid: 1\ndata: a\n\n\r\n";
}

// A server that takes the request and says nothing.
ScriptedAnswer Silence() {
  ScriptedAnswer answer;
  answer.later = " ";
  answer.delay = Seconds(60);
  return answer;
}

ScriptedAnswer BegunStream() {
  ScriptedAnswer answer = Silence();
  answer.bytes = StreamHead() + FirstEvent();
  return answer;
}

void ReplaceAll(std::string& text,
                const std::string& from,
                const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

// A site whose routes allow requests that last longer than the grace time.
struct StopSite : Site {
  bool stopped = false;
  TimePoint stop_at;

  explicit StopSite(Duration grace) {
    this->settings.grace = grace;
    std::string config = ConfigText(1, "\"k1\"");
    ReplaceAll(config, R"("timeout_ms":800)", R"("timeout_ms":6000)");
    ReplaceAll(config, R"("timeout_ms":3000)", R"("timeout_ms":6000)");
    ReplaceAll(config, R"("max_body_bytes":1000)",
               R"("max_body_bytes":100000)");
    this->store.Put("keyed.op", "config", config);
    this->List("i-1", this->first, "ready");
    this->Start();
    REQUIRE(Serves(*this));
  }

  std::unique_ptr<Caller> Send(const std::string& bytes) {
    auto caller = std::make_unique<Caller>(this->loop, this->settings.callers);
    caller->connection->Write(bytes);
    return caller;
  }

  void Stop() {
    this->stop_at = EventLoop::Now();
    this->host->Shutdown([this] { this->stopped = true; });
  }

  Duration SinceStop() const { return EventLoop::Now() - this->stop_at; }
};

bool HasWholeAnswer(const Caller& caller, int status) {
  return caller.parser.done() && caller.parser.head().status == status;
}

// Guards against idle connections that are closed although a request lies in
// the kernel's buffer: callers go on using them until the host is gone. The
// loop stands still while a request is sent, so that the request has arrived
// when the loop's timers are due.
TEST_CASE("a request on an open connection is answered until the host ends") {
  StopSite site(Milliseconds(4000));
  constexpr std::size_t kCallers = 40;
  std::vector<std::unique_ptr<SocketCaller>> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<SocketCaller>(site.settings.callers));
    callers.back()->Send(Request("GET", "/s/x", "a" + std::to_string(i)));
  }
  site.RunFor(Milliseconds(100));
  for (const auto& caller : callers) {
    caller->Poll();
    REQUIRE(caller->status() == 200);
  }
  site.Stop();
  std::size_t sent = 0;
  std::size_t answered = 0;
  std::size_t reset = 0;
  for (const auto& caller : callers) {
    caller->Poll();
    const bool open = caller->end() == SocketCaller::End::kOpen;
    if (open && !site.stopped) {
      caller->ExpectResponse();
      ++sent;
      REQUIRE(
          caller->Send(LongRequest("GET", "/s/x", "b" + std::to_string(sent))));
    }
    std::this_thread::sleep_for(Milliseconds(60));
    site.RunFor(Milliseconds(20));
    caller->Poll();
    if (open) {
      answered += caller->status() == 200 || caller->status() == 503 ? 1 : 0;
    }
    reset += caller->end() == SocketCaller::End::kReset ? 1 : 0;
  }
  CHECK(sent > kCallers / 2);
  CHECK(answered == sent);
  CHECK(reset == 0);
  CHECK(site.RunUntil([&] { return site.stopped; }));
}

// Guards against an answer that is lost because the connection is reset with
// bytes of the request unread.
TEST_CASE("a refusal of a long body reaches its caller") {
  StopSite site(Milliseconds(4000));
  SocketCaller caller(site.settings.callers);
  REQUIRE(
      caller.Send(Request("POST", "/u/x", "r1", "Content-Length: 3000000\r\n") +
                  std::string(20000, 'b')));
  // The body goes on while the refusal is on its way, and the caller reads
  // nothing in the meantime.
  for (int i = 0; i < 12; ++i) {
    site.RunFor(Milliseconds(60));
    caller.Send(std::string(8000, 'b'));
  }
  site.RunFor(Milliseconds(100));
  caller.Poll();
  CHECK(caller.status() == 413);
  CHECK(caller.end() != SocketCaller::End::kReset);
}

// Guards against a broken stream that loses the events which were passed on,
// because the caller has sent its next request already.
TEST_CASE("a broken stream delivers what was passed on") {
  StopSite site(Milliseconds(4000));
  ScriptedAnswer broken = BegunStream();
  broken.later = "zz\r\n";
  broken.delay = Milliseconds(50);
  site.first.script = {broken, broken, broken, broken};
  SocketCaller caller(site.settings.callers);
  REQUIRE(caller.Send(LongRequest("POST", "/m/x", "r1", "", "p") +
                      std::string(200000, 'x')));
  site.RunFor(Milliseconds(3000));
  caller.Poll();
  CHECK(caller.end() == SocketCaller::End::kOrderly);
  CHECK_FALSE(caller.parser.done());
  CHECK(caller.parser.TakeBody() == "id: 1\ndata: a\n\n");
}

// Guards against a request that was read with the one before it and is dropped
// when the first answer announces the close.
TEST_CASE("a pipelined request is answered before its connection closes") {
  StopSite site(Milliseconds(3000));
  ScriptedAnswer slow;
  slow.later = SealedAnswer("slow").bytes;
  slow.delay = Milliseconds(300);
  site.first.script = {slow};
  const auto caller =
      site.Send(Request("GET", "/s/x", "r1") + Request("GET", "/s/x", "r2"));
  REQUIRE(site.RunUntil([&] { return site.first.runs.contains("r1"); }));
  site.Stop();
  REQUIRE(site.RunUntil([&] { return caller->ended; }));
  REQUIRE(HasWholeAnswer(*caller, 200));
  CHECK(FindHeader(caller->parser.head().headers, "Connection").empty());
  ResponseParser second(true);
  second.Feed(caller->parser.TakeUnparsedBytes());
  REQUIRE(second.done());
  CHECK(second.head().status == 200);
  CHECK(FindHeader(second.head().headers, "Connection") == "close");
}

// Guards against bodies that stop arriving when the host stops, with a caller
// that waits for an interim response.
TEST_CASE("a body that is still arriving is read on during a stop") {
  StopSite site(Milliseconds(3000));
  const std::string chunked = Request("POST", "/u/x", "r1",
                                      "Transfer-Encoding: chunked\r\n"
                                      "Expect: 100-continue\r\n");
  const auto caller = site.Send(chunked);
  site.RunFor(Milliseconds(50));
  site.Stop();
  site.RunFor(Milliseconds(200));
  caller->connection->Write("3\r\nabc\r\n");
  site.RunFor(Milliseconds(200));
  caller->connection->Write("0\r\n\r\n");
  REQUIRE(site.RunUntil([&] { return caller->parser.done(); }));
  CHECK(HasWholeAnswer(*caller, 200));
  CHECK(site.first.bodies.back() == "abc");
  CHECK(FindHeader(caller->parser.head().headers, "Connection") == "close");
  CHECK(site.RunUntil([&] { return caller->ended; }));
}

}  // namespace
}  // namespace toucanhollow
