#include "http_client/http_client.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

// TCP server that sends a fixed response to each request, to produce cases that
// a correct HTTP server never does.
struct RawServer {
  EventLoop& loop;
  int listener = socket(AF_INET, SOCK_STREAM, 0);
  std::uint16_t port = 0;
  int accepted = 0;
  int requests = 0;
  // Sent after each request. The connection is then closed if `close_after`.
  std::string response;
  bool close_after = true;
  std::unique_ptr<IoWatcher> accept_watcher;
  std::vector<std::unique_ptr<IoWatcher>> readers;
  std::vector<int> sockets;

  explicit RawServer(EventLoop& loop) : loop(loop) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* raw = reinterpret_cast<sockaddr*>(&address);
    REQUIRE(bind(this->listener, raw, size) == 0);
    REQUIRE(listen(this->listener, 16) == 0);
    REQUIRE(getsockname(this->listener, raw, &size) == 0);
    this->port = ntohs(address.sin_port);
    this->accept_watcher = std::make_unique<IoWatcher>(
        loop, this->listener, IoWatcher::kRead,
        [this](IoWatcher::Interest) { this->Accept(); });
  }
  ~RawServer() { close(this->listener); }

  // Sends bytes on each connection that was accepted, whether or not it has
  // carried a request.
  void SendToAll(const std::string& bytes) const {
    for (const int fd : this->sockets) {
      send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
  }

  void Accept() {
    const int fd = accept(this->listener, nullptr, nullptr);
    ++this->accepted;
    this->sockets.push_back(fd);
    this->readers.push_back(nullptr);
    const std::size_t index = this->readers.size() - 1;
    this->readers[index] = std::make_unique<IoWatcher>(
        this->loop, fd, IoWatcher::kRead, [this, fd, index](auto) {
          char buffer[4096];
          if (recv(fd, buffer, sizeof(buffer), 0) <= 0) {
            this->readers[index].reset();
            close(fd);
            return;
          }
          ++this->requests;
          send(fd, this->response.data(), this->response.size(), MSG_NOSIGNAL);
          if (this->close_after) {
            this->readers[index].reset();
            close(fd);
          }
        });
  }
};

struct Fixture {
  EventLoop loop;
  HttpClient client{this->loop};
  RawServer server{this->loop};

  HttpCall MakeCall() const {
    HttpCall call;
    call.url = "http://127.0.0.1:" + std::to_string(this->server.port) + "/";
    return call;
  }

  HttpOutcome Fetch(HttpCall call) {
    HttpOutcome result;
    HttpCallbacks callbacks;
    callbacks.on_done = [&](HttpOutcome outcome) {
      result = std::move(outcome);
      this->loop.Stop();
    };
    this->client.Start(std::move(call), std::move(callbacks));
    this->loop.Run();
    return result;
  }
};

constexpr const char* kOkResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Guards against a request that was sent but is reported as certainly not sent.
TEST_CASE("only a request without a connection is reported as not sent") {
  Fixture fixture;
  const HttpOutcome closed = fixture.Fetch(fixture.MakeCall());
  CHECK(closed.end == HttpEnd::kBroken);
  CHECK(closed.maybe_sent);
  fixture.server.accept_watcher.reset();
  HttpCall silent = fixture.MakeCall();
  silent.total_timeout = Milliseconds(500);
  const HttpOutcome timed_out = fixture.Fetch(silent);
  CHECK(timed_out.end == HttpEnd::kTimedOut);
  CHECK(timed_out.maybe_sent);
  shutdown(fixture.server.listener, SHUT_RDWR);
  const HttpOutcome refused = fixture.Fetch(fixture.MakeCall());
  CHECK(refused.end == HttpEnd::kNotConnected);
  CHECK_FALSE(refused.maybe_sent);
}

// Guards against libcurl silently resending a request on a reused connection.
TEST_CASE("a call that is not repeatable is sent once") {
  Fixture fixture;
  fixture.server.response = kOkResponse;
  fixture.server.close_after = false;
  HttpCall call = fixture.MakeCall();
  call.method = "POST";
  call.repeatable = true;
  CHECK(fixture.Fetch(call).status == 200);
  fixture.server.response.clear();
  fixture.server.close_after = true;
  call.repeatable = false;
  CHECK(fixture.Fetch(call).end == HttpEnd::kBroken);
  CHECK(fixture.server.requests == 2);
}

// Guards against a status that no caller can interpret and that is returned.
TEST_CASE("a response whose status is no HTTP status is a broken one") {
  Fixture fixture;
  for (const char* status : {"000", "099", "101", "600", "999", "20", "2000"}) {
    INFO(status);
    fixture.server.response =
        std::string("HTTP/1.1 ") + status + " X\r\nContent-Length: 2\r\n\r\nno";
    const HttpOutcome outcome = fixture.Fetch(fixture.MakeCall());
    CHECK(outcome.end == HttpEnd::kBroken);
    CHECK(outcome.status == 0);
  }
}

// Guards against a new connection for each repeatable call.
TEST_CASE("repeatable calls reuse a connection") {
  Fixture fixture;
  fixture.server.response = kOkResponse;
  fixture.server.close_after = false;
  HttpCall call = fixture.MakeCall();
  call.repeatable = true;
  for (int i = 0; i < 3; ++i) {
    CHECK(fixture.Fetch(call).body == "ok");
  }
  CHECK(fixture.server.accepted == 1);
}

// Guards against connections that stay open although no call uses them again.
TEST_CASE("a connection of one call is closed after it") {
  Fixture fixture;
  fixture.server.response = kOkResponse;
  fixture.server.close_after = false;
  HttpCall call = fixture.MakeCall();
  call.repeatable = true;
  call.connection = ConnectionUse::kOwn;
  const auto open_connections = [&fixture] {
    return std::ranges::count_if(
        fixture.server.readers,
        [](const auto& reader) { return reader != nullptr; });
  };
  for (int i = 0; i < 3; ++i) {
    CHECK(fixture.Fetch(call).body == "ok");
    CHECK(open_connections() <= 1);
  }
  CHECK(fixture.server.accepted == 3);
}

// Guards against an idle connection that is taken in place of a newer one.
TEST_CASE("a client that keeps one connection keeps the newest") {
  Fixture fixture;
  HttpClient client(fixture.loop, 1);
  fixture.server.response = kOkResponse;
  fixture.server.close_after = false;
  HttpCall call = fixture.MakeCall();
  call.repeatable = true;
  for (const ConnectionUse use :
       {ConnectionUse::kShared, ConnectionUse::kNew, ConnectionUse::kShared}) {
    call.connection = use;
    HttpCallbacks callbacks;
    callbacks.on_done = [&](const HttpOutcome& outcome) {
      CHECK(outcome.body == "ok");
      fixture.loop.Stop();
    };
    client.Start(call, std::move(callbacks));
    fixture.loop.Run();
  }
  CHECK(fixture.server.accepted == 2);
  // The first connection has been closed.
  CHECK(fixture.server.readers[0] == nullptr);
}

// Guards against a truncated or too large response that is reported as
// complete.
TEST_CASE("truncated, malformed and too large responses are reported") {
  Fixture fixture;
  fixture.server.response = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
  CHECK(fixture.Fetch(fixture.MakeCall()).end == HttpEnd::kBroken);
  fixture.server.response = "not http at all";
  CHECK(fixture.Fetch(fixture.MakeCall()).end != HttpEnd::kComplete);
  fixture.server.response =
      "HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n" + std::string(999, 'x');
  HttpCall call = fixture.MakeCall();
  call.max_response_bytes = 998;
  CHECK(fixture.Fetch(call).end == HttpEnd::kResponseTooLarge);
  call.max_response_bytes = 999;
  CHECK(fixture.Fetch(call).end == HttpEnd::kComplete);
}

// Guards against libcurl using a call after a callback has cancelled it.
TEST_CASE("callbacks may cancel and start calls") {
  Fixture fixture;
  fixture.server.response = kOkResponse;
  HttpCallId first = 0;
  HttpCallbacks callbacks;
  callbacks.on_data = [&](std::string_view) {
    fixture.client.Cancel(first);
    HttpCallbacks second;
    second.on_done = [&](const HttpOutcome& outcome) {
      CHECK(outcome.body == "ok");
      fixture.loop.Stop();
    };
    fixture.client.Start(fixture.MakeCall(), std::move(second));
  };
  callbacks.on_done = [](const HttpOutcome&) { FAIL("cancelled"); };
  first = fixture.client.Start(fixture.MakeCall(), std::move(callbacks));
  fixture.loop.Run();
  CHECK(fixture.client.OpenCalls() == 0);
}

// Guards against a client that makes no further call after an exception of a
// callback: an exception that unwinds libcurl leaves its handle locked.
TEST_CASE("a call whose callback throws ends and later calls succeed") {
  Fixture fixture;
  fixture.server.response = kOkResponse;
  int reported = 0;
  fixture.loop.SetUncaughtExceptionHandler(
      [&](std::string_view) { ++reported; });
  const auto fail = [](auto&&...) { throw std::bad_alloc(); };
  HttpCallbacks in_header;
  in_header.on_header = fail;
  HttpCallbacks in_body;
  in_body.on_data = fail;
  HttpCallbacks at_end;
  at_end.on_done = fail;
  for (HttpCallbacks* failing : {&in_header, &in_body, &at_end}) {
    HttpOutcome outcome;
    const bool fails_at_end = failing == &at_end;
    if (!fails_at_end) {
      failing->on_done = [&](HttpOutcome ended) {
        outcome = std::move(ended);
        fixture.loop.Stop();
      };
    }
    const Timer limit(fixture.loop, Milliseconds(fails_at_end ? 200 : 5000),
                      Duration(0), [&] { fixture.loop.Stop(); });
    fixture.client.Start(fixture.MakeCall(), *failing);
    fixture.loop.Run();
    if (!fails_at_end) {
      CHECK(outcome.end == HttpEnd::kBroken);
      CHECK(outcome.maybe_sent);
    }
    CHECK(fixture.client.OpenCalls() == 0);
    CHECK(fixture.Fetch(fixture.MakeCall()).status == 200);
  }
  CHECK(reported == 3);
}

// Guards against calls that are never reported because the callback of another
// call, which ended in the same turn, threw.
TEST_CASE("an exception at the end of a call leaves the others alone") {
  Fixture fixture;
  fixture.loop.SetUncaughtExceptionHandler([](std::string_view) {});
  fixture.server.accept_watcher.reset();
  shutdown(fixture.server.listener, SHUT_RDWR);
  int ended = 0;
  constexpr int kCalls = 8;
  for (int i = 0; i < kCalls; ++i) {
    HttpCallbacks callbacks;
    callbacks.on_done = [&](const HttpOutcome&) {
      if (++ended == kCalls) {
        fixture.loop.Stop();
      }
      throw std::runtime_error("ended");
    };
    fixture.client.Start(fixture.MakeCall(), std::move(callbacks));
  }
  const Timer limit(fixture.loop, Seconds(5), Duration(0),
                    [&] { fixture.loop.Stop(); });
  fixture.loop.Run();
  CHECK(ended == kCalls);
}

// Answers in each framing, with this body of two bytes.
std::vector<std::string> FrameAnswers(const std::string& body) {
  const std::string with_length =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + body;
  return {
      with_length,
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n" + body +
          "\r\n0\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\n" + with_length,
      "HTTP/1.1 200 OK\r\n\r\n" + body,
  };
}

// Guards against a call that gets an answer to an earlier one, which came with
// that answer or later on a connection that is kept.
TEST_CASE("bytes behind an answer reach no later call") {
  for (const std::string& copy : FrameAnswers("no")) {
    for (std::size_t split = 0; split <= copy.size(); ++split) {
      Fixture fixture;
      fixture.server.close_after = false;
      HttpCall call = fixture.MakeCall();
      call.repeatable = true;
      fixture.server.response = FrameAnswers("ok")[0] + copy.substr(0, split);
      REQUIRE(fixture.Fetch(call).body == "ok");
      fixture.server.SendToAll(copy.substr(split));
      fixture.server.response = FrameAnswers("me")[0];
      INFO("split at " << split << " of " << copy);
      const HttpOutcome outcome = fixture.Fetch(call);
      REQUIRE(outcome.end == HttpEnd::kComplete);
      REQUIRE(outcome.body == "me");
      REQUIRE(fixture.server.accepted == 2);
    }
  }
}

}  // namespace
}  // namespace toucanhollow
