#include "http_client/http_client.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

// Accepts connections and acts on the bytes that come; the client's peer in
// cases that a correct server never produces.
struct RawPeer {
  EventLoop& loop;
  int listener = socket(AF_INET, SOCK_STREAM, 0);
  std::uint16_t port = 0;
  int accepted = 0;
  int requests = 0;
  // Sent after each request; the connection is then closed if `close_after`.
  std::string answer;
  bool close_after = true;
  std::unique_ptr<IoWatcher> accept_watcher;
  std::vector<std::unique_ptr<IoWatcher>> readers;

  explicit RawPeer(EventLoop& loop) : loop(loop) {
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
  ~RawPeer() { close(this->listener); }

  void Accept() {
    const int fd = accept(this->listener, nullptr, nullptr);
    ++this->accepted;
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
          send(fd, this->answer.data(), this->answer.size(), MSG_NOSIGNAL);
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
  RawPeer peer{this->loop};

  HttpCall Call() const {
    HttpCall call;
    call.url = "http://127.0.0.1:" + std::to_string(this->peer.port) + "/";
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

constexpr const char* kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Guards against a request reported as certainly not run that was sent.
TEST_CASE("only a request without a connection is certainly not sent") {
  Fixture fixture;
  const HttpOutcome closed = fixture.Fetch(fixture.Call());
  CHECK(closed.end == HttpEnd::kBroken);
  CHECK(closed.maybe_sent);
  fixture.peer.accept_watcher.reset();
  HttpCall silent = fixture.Call();
  silent.total_timeout = Milliseconds(500);
  const HttpOutcome timed_out = fixture.Fetch(silent);
  CHECK(timed_out.end == HttpEnd::kTimedOut);
  CHECK(timed_out.maybe_sent);
  shutdown(fixture.peer.listener, SHUT_RDWR);
  const HttpOutcome refused = fixture.Fetch(fixture.Call());
  CHECK(refused.end == HttpEnd::kNotConnected);
  CHECK_FALSE(refused.maybe_sent);
}

// Guards against libcurl's silent second sending on a kept connection.
TEST_CASE("a call that must not run twice is sent once") {
  Fixture fixture;
  fixture.peer.answer = kOk;
  fixture.peer.close_after = false;
  HttpCall call = fixture.Call();
  call.method = "POST";
  call.repeatable = true;
  CHECK(fixture.Fetch(call).status == 200);
  fixture.peer.answer.clear();
  fixture.peer.close_after = true;
  call.repeatable = false;
  CHECK(fixture.Fetch(call).end == HttpEnd::kBroken);
  CHECK(fixture.peer.requests == 2);
}

// Guards against a connection set-up for each repeatable call.
TEST_CASE("repeatable calls share a kept connection") {
  Fixture fixture;
  fixture.peer.answer = kOk;
  fixture.peer.close_after = false;
  HttpCall call = fixture.Call();
  call.repeatable = true;
  for (int i = 0; i < 3; ++i) {
    CHECK(fixture.Fetch(call).body == "ok");
  }
  CHECK(fixture.peer.accepted == 1);
}

// Guards against an answer that is cut or too long but looks whole.
TEST_CASE("answers that are not whole are reported") {
  Fixture fixture;
  fixture.peer.answer = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
  CHECK(fixture.Fetch(fixture.Call()).end == HttpEnd::kBroken);
  fixture.peer.answer = "not http at all";
  CHECK(fixture.Fetch(fixture.Call()).end != HttpEnd::kComplete);
  fixture.peer.answer =
      "HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n" + std::string(999, 'x');
  HttpCall call = fixture.Call();
  call.max_response_bytes = 998;
  CHECK(fixture.Fetch(call).end == HttpEnd::kResponseTooLarge);
  call.max_response_bytes = 999;
  CHECK(fixture.Fetch(call).end == HttpEnd::kComplete);
}

// Guards against use of a call inside libcurl after a callback cancelled it.
TEST_CASE("callbacks may cancel and start calls") {
  Fixture fixture;
  fixture.peer.answer = kOk;
  HttpCallId first = 0;
  HttpCallbacks callbacks;
  callbacks.on_data = [&](std::string_view) {
    fixture.client.Cancel(first);
    HttpCallbacks second;
    second.on_done = [&](const HttpOutcome& outcome) {
      CHECK(outcome.body == "ok");
      fixture.loop.Stop();
    };
    fixture.client.Start(fixture.Call(), std::move(second));
  };
  callbacks.on_done = [](const HttpOutcome&) { FAIL("cancelled"); };
  first = fixture.client.Start(fixture.Call(), std::move(callbacks));
  fixture.loop.Run();
  CHECK(fixture.client.OpenCalls() == 0);
}

}  // namespace
}  // namespace toucanhollow
