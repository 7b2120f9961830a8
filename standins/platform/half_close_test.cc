// Callers that shut their sending side down behind a request, and callers that
// close.
#include <csignal>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "standins/platform/relay_process.h"
#include "standins/platform/relay_site.h"
#include "standins/platform/socket_caller.h"

namespace toucanhollow {
namespace {

ScriptedAnswer Late(const std::string& bytes, Duration delay) {
  ScriptedAnswer answer;
  answer.later = bytes;
  answer.delay = delay;
  return answer;
}

ScriptedAnswer Silence() {
  return Late(" ", Seconds(60));
}

std::string StreamText() {
  return "HTTP/1.1 200 OK\r\nX-Toucanhollow-Request-Id: {id}\r\n"
         "X-Toucanhollow-Response-Seal: seal\r\n"
         "Content-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n"
         "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";
}

struct HalfCloseSite : Site {
  HalfCloseSite() {
    this->Configure();
    this->Start();
    REQUIRE(Serves(*this));
  }

  bool RunUntilAnswered(SocketCaller& caller) {
    return this->RunUntil([&caller] {
      caller.Poll();
      return caller.parser.done() || caller.end() != SocketCaller::End::kOpen;
    });
  }
};

}  // namespace

// Guards against a caller that is taken for one that has left, because it sends
// nothing behind its request and says so.
TEST_CASE("a caller that shuts its sending side down gets its answer") {
  HalfCloseSite site;
  const Duration pause = GENERATE(Milliseconds(0), Milliseconds(60));
  const bool stream = GENERATE(false, true);
  site.first.script = {Late(stream ? StreamText() : SealedAnswer("ok").bytes,
                            Milliseconds(600))};
  SocketCaller caller(site.settings.callers);
  REQUIRE(caller.Send(stream ? Request("POST", "/m/x", "r1", "", "p")
                             : Request("GET", "/s/x", "r1")));
  site.RunFor(pause);
  caller.HalfClose();
  REQUIRE(site.RunUntilAnswered(caller));
  CHECK(caller.status() == 200);
  CHECK(caller.parser.TakeBody() == (stream ? "id: 1\ndata: a\n\n" : "ok"));
  CHECK(site.first.runs["r1"] == 1);
  // The host closes behind the answer.
  CHECK(site.RunUntil([&caller] {
    caller.Poll();
    return caller.end() == SocketCaller::End::kOrderly;
  }));
}

// Guards against an answer that is dropped between the host and a caller that
// has shut its sending side down while it was on its way.
TEST_CASE("a half-closed caller gets the rest of a long answer") {
  HalfCloseSite site;
  const std::string body(8'000'000, 'a');
  site.first.script = {SealedAnswer(body)};
  SocketCaller caller(site.settings.callers);
  REQUIRE(caller.Send(Request("GET", "/s/x", "r1")));
  // The buffers between them hold less.
  site.RunFor(Milliseconds(200));
  caller.HalfClose();
  site.RunFor(Milliseconds(50));
  REQUIRE(site.RunUntilAnswered(caller));
  CHECK(caller.status() == 200);
  CHECK(caller.parser.TakeBody().size() == body.size());
}

// Guards against a pipelined request that is dropped with the end of the
// caller's input.
TEST_CASE("a half-closed caller gets the answers to all its requests") {
  HalfCloseSite site;
  site.first.script = {Late(SealedAnswer("first").bytes, Milliseconds(100)),
                       Late(SealedAnswer("second").bytes, Milliseconds(100))};
  SocketCaller caller(site.settings.callers);
  REQUIRE(
      caller.Send(Request("GET", "/s/x", "r1") + Request("GET", "/s/x", "r2")));
  caller.HalfClose();
  REQUIRE(site.RunUntilAnswered(caller));
  CHECK(caller.parser.TakeBody() == "first");
  const std::string rest = caller.parser.TakeUnparsedBytes();
  caller.ExpectResponse();
  caller.parser.Feed(rest);
  REQUIRE(site.RunUntilAnswered(caller));
  CHECK(caller.status() == 200);
  CHECK(caller.parser.TakeBody() == "second");
}

// Guards against work that goes on for a caller that has left, when its close
// looks like the end of its input.
TEST_CASE("a caller that closes ends its work within half a second") {
  HalfCloseSite site;
  ScriptedAnswer silent = Silence();
  const bool has_unread_bytes = GENERATE(false, true);
  if (has_unread_bytes) {
    silent.bytes =
        "HTTP/1.1 200 OK\r\nX-Toucanhollow-Request-Id: {id}\r\n"
        "X-Toucanhollow-Response-Seal: seal\r\n"
        "Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
        "f\r\nid: 1\ndata: a\n\n\r\n";
  }
  site.first.script = {silent};
  const int closed = site.first.closed_by_caller;
  TimePoint closed_at;
  {
    SocketCaller caller(site.settings.callers);
    REQUIRE(caller.Send(Request("POST", "/m/x", "r1", "", "p")));
    REQUIRE(site.RunUntil([&] { return site.first.runs.contains("r1"); }));
    site.RunFor(Milliseconds(50));
    closed_at = EventLoop::Now();
  }
  CHECK(site.RunUntil([&] { return site.first.closed_by_caller > closed; }));
  CHECK(EventLoop::Now() - closed_at < Milliseconds(400));
}

// Guards against work that goes on for a caller that has left with so many
// later requests behind the present one that its connection is not read.
TEST_CASE("a caller that leaves later requests unread ends its work") {
  HalfCloseSite site;
  ScriptedAnswer silent = Silence();
  if (GENERATE(false, true)) {
    silent.bytes = StreamText().substr(0, StreamText().size() - 5);
  }
  site.first.script = {silent};
  const int closed = site.first.closed_by_caller;
  const std::size_t later = GENERATE(as<std::size_t>(), 200, 1000);
  TimePoint closed_at;
  {
    SocketCaller caller(site.settings.callers);
    std::string requests = Request("POST", "/m/x", "r1", "", "p");
    for (std::size_t i = 0; i < later; ++i) {
      requests += Request("GET", "/s/x", "later");
    }
    REQUIRE(caller.Send(requests));
    REQUIRE(site.RunUntil([&] { return site.first.runs.contains("r1"); }));
    site.RunFor(Milliseconds(50));
    closed_at = EventLoop::Now();
  }
  CHECK(site.RunUntil([&] { return site.first.closed_by_caller > closed; }));
  CHECK(EventLoop::Now() - closed_at < Milliseconds(400));
  CHECK(site.first.runs["later"] == 0);
}

// Guards against requests that are dropped behind the end of a caller's input,
// which is seen before they are read.
TEST_CASE("a half-closed caller gets answers to requests that were unread") {
  constexpr int kLater = 400;
  HalfCloseSite site;
  site.first.script = {Late(SealedAnswer("first").bytes, Milliseconds(500))};
  SocketCaller caller(site.settings.callers);
  std::string requests = Request("GET", "/s/x", "r1");
  for (int i = 0; i < kLater; ++i) {
    requests += Request("GET", "/s/x", "later");
  }
  REQUIRE(caller.Send(requests));
  caller.HalfClose();
  int answered = 0;
  site.RunUntil([&] {
    caller.Poll();
    while (caller.status() == 200) {
      ++answered;
      const std::string rest = caller.parser.TakeUnparsedBytes();
      caller.ExpectResponse();
      caller.parser.Feed(rest);
    }
    return caller.end() != SocketCaller::End::kOpen;
  });
  CHECK(answered == 1 + kLater);
  CHECK(site.first.runs["later"] == kLater);
}

// Guards against a stream that is cut because its caller shuts its sending side
// down after the first event.
TEST_CASE("a half-closed caller gets the rest of a stream that has begun") {
  HalfCloseSite site;
  const std::string end = "0\r\n\r\n";
  ScriptedAnswer stream =
      Late("f\r\nid: 2\ndata: b\n\n\r\n" + end, Milliseconds(150));
  stream.bytes = StreamText().substr(0, StreamText().size() - end.size());
  site.first.script = {stream};
  SocketCaller caller(site.settings.callers);
  REQUIRE(caller.Send(Request("POST", "/m/x", "r1", "", "p")));
  REQUIRE(site.RunUntil([&caller] {
    caller.Poll();
    return caller.parser.head_done();
  }));
  caller.HalfClose();
  REQUIRE(site.RunUntilAnswered(caller));
  CHECK(caller.status() == 200);
  CHECK(caller.parser.TakeBody() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against a stream that goes on for a caller that has left, or is cut
// for one that still reads.
TEST_CASE("the events of a stream tell a half-close from a close") {
  HalfCloseSite site;
  ScriptedAnswer stream;
  stream.bytes = StreamText().substr(0, StreamText().size() - 5);
  stream.endless = "5\r\n: c\n\n\r\n";
  site.first.script = {stream};
  const int closed = site.first.closed_by_caller;
  const auto has_left = [&] { return site.first.closed_by_caller > closed; };
  TimePoint closed_at;
  {
    SocketCaller caller(site.settings.callers);
    REQUIRE(caller.Send(Request("POST", "/m/x", "r1", "", "p")));
    REQUIRE(site.RunUntil([&caller] {
      caller.Poll();
      return caller.parser.head_done();
    }));
    caller.HalfClose();
    CHECK_FALSE(site.RunUntil(
        [&] {
          caller.Poll();
          return has_left();
        },
        Milliseconds(800)));
    caller.Poll();
    closed_at = EventLoop::Now();
  }
  CHECK(site.RunUntil(has_left));
  CHECK(EventLoop::Now() - closed_at < Milliseconds(400));
}

// A stream that is silent has no place for the bytes that tell a half-close
// from a close, and a caller of HTTP/1.0 does not expect them.
TEST_CASE("a half-close that cannot be told from a close is one") {
  HalfCloseSite site;
  ScriptedAnswer silent = Silence();
  std::string request = Request("POST", "/m/x", "r1", "", "p");
  if (GENERATE(false, true)) {
    request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
  } else {
    silent.bytes = StreamText().substr(0, StreamText().size() - 5);
  }
  site.first.script = {silent};
  const int closed = site.first.closed_by_caller;
  SocketCaller caller(site.settings.callers);
  REQUIRE(caller.Send(request));
  REQUIRE(site.RunUntil([&] { return site.first.runs.contains("r1"); }));
  site.RunFor(Milliseconds(50));
  caller.HalfClose();
  CHECK(site.RunUntil([&] { return site.first.closed_by_caller > closed; },
                      Milliseconds(400)));
}

// Guards against a half-close that is taken for a close because the host reads
// the begin of the answer first, although that arrived later.
TEST_CASE("a half-close that arrives before the answer is seen before it") {
  RelayProcess site(Seconds(8));
  const std::string end = "0\r\n\r\n";
  ScriptedAnswer stream = Late(end, Milliseconds(400));
  stream.bytes = StreamText().substr(0, StreamText().size() - end.size());
  site.first.script = {stream};
  SocketCaller caller(site.settings.callers);
  REQUIRE(caller.Send(Request("POST", "/m/x", "r1", "", "p")));
  // The server does not run meanwhile.
  std::this_thread::sleep_for(Milliseconds(100));
  site.process->Signal(SIGSTOP);
  caller.HalfClose();
  REQUIRE(site.RunUntil([&] { return site.first.runs.contains("r1"); }));
  site.RunFor(Milliseconds(50));
  site.process->Signal(SIGCONT);
  site.RunUntil([&caller] {
    caller.Poll();
    return caller.parser.done() || caller.end() != SocketCaller::End::kOpen;
  });
  CHECK(caller.status() == 200);
  CHECK(caller.parser.done());
  CHECK(caller.parser.TakeBody() == "id: 1\ndata: a\n\n");
}

}  // namespace toucanhollow
