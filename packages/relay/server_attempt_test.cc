#include "relay/server_attempt.h"

#include <memory>
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "http_stream/tcp_connection.h"

namespace toucanhollow {
namespace {

// A server that counts the bytes it gets, and an attempt to send it a request.
struct AttemptFixture {
  EventLoop loop;
  std::unique_ptr<TcpListener> listener;
  std::unique_ptr<TcpConnection> accepted;
  std::string received;
  RelayCodec codec{};
  std::unique_ptr<ServerAttempt> attempt;
  bool sent = false;
  // Why the request must not be written.
  std::string obstacle;
  std::optional<AttemptEnd> end;

  AttemptFixture() {
    auto listening =
        TcpListener::Listen(this->loop, {"127.0.0.1", 0}, [this](int socket) {
          this->accepted = std::make_unique<TcpConnection>(this->loop, socket);
          this->accepted->SetCallbacks(
              {nullptr,
               [this](std::string_view bytes) { this->received += bytes; },
               nullptr, nullptr});
        });
    REQUIRE(listening);
    this->listener = std::move(listening.value());
  }

  std::unique_ptr<TcpConnection> Connect() {
    return std::make_unique<TcpConnection>(
        this->loop, Address{"127.0.0.1", this->listener->Port()});
  }

  void Send(std::unique_ptr<TcpConnection> connection,
            std::optional<BootTime> write_by) {
    AttemptCallbacks callbacks;
    callbacks.check_write = [this] { return std::string_view(this->obstacle); };
    callbacks.on_sent = [this] { this->sent = true; };
    callbacks.on_head = [](const ResponseHead&, const ResponseMetadata&) {};
    callbacks.on_end = [this](AttemptEnd attempt_end, std::string_view) {
      this->end = attempt_end;
    };
    this->attempt = std::make_unique<ServerAttempt>(
        std::move(connection), false, this->codec, "GET / HTTP/1.1\r\n\r\n",
        "r1", true, std::move(callbacks));
    this->attempt->Start(write_by);
  }

  void RunFor(Duration time) {
    const Timer timer(this->loop, time, Duration(0),
                      [this] { this->loop.Stop(); });
    this->loop.Run();
  }
};

TEST_CASE("a request is written when its connection is established") {
  AttemptFixture fixture;
  fixture.Send(fixture.Connect(), EventLoop::BootNow() + Seconds(1));
  CHECK_FALSE(fixture.sent);
  fixture.RunFor(Milliseconds(20));
  CHECK(fixture.sent);
  CHECK(fixture.attempt->any_sent());
  CHECK(fixture.received == "GET / HTTP/1.1\r\n\r\n");
  CHECK_FALSE(fixture.end);
}

// Guards against a number that overflows when it becomes a duration.
TEST_CASE("a server may keep its connections for as long as it likes") {
  AttemptFixture fixture;
  fixture.codec.read_response = [](const ResponseHead&) {
    ResponseMetadata metadata;
    metadata.request_id = "r1";
    metadata.sealed = true;
    return metadata;
  };
  fixture.Send(fixture.Connect(), std::nullopt);
  fixture.RunFor(Milliseconds(20));
  REQUIRE(fixture.accepted != nullptr);
  fixture.accepted->Write(
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
      "Keep-Alive: timeout=9223372036854775807\r\n\r\n");
  fixture.RunFor(Milliseconds(20));
  REQUIRE(fixture.end == AttemptEnd::kComplete);
  CHECK(fixture.attempt->server_keep_alive_timeout() >= Seconds(3600));
}

// Guards against heads that take more memory than is counted for an answer.
TEST_CASE("an attempt ends at a response head of more than 32 KB") {
  constexpr std::size_t kFieldBytes = 1000;
  const int fields = GENERATE(32, 34);
  AttemptFixture fixture;
  fixture.codec.read_response = [](const ResponseHead&) {
    ResponseMetadata metadata;
    metadata.request_id = "r1";
    metadata.sealed = true;
    return metadata;
  };
  fixture.Send(fixture.Connect(), std::nullopt);
  fixture.RunFor(Milliseconds(20));
  REQUIRE(fixture.accepted != nullptr);
  std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
  for (int i = 0; i < fields; ++i) {
    answer += "X-A: " + std::string(kFieldBytes - 7, 'a') + "\r\n";
  }
  fixture.accepted->Write(answer + "\r\n");
  fixture.RunFor(Milliseconds(20));
  const bool fits = fields * kFieldBytes < std::size_t{32} * 1024;
  CHECK(fixture.end == (fits ? AttemptEnd::kComplete : AttemptEnd::kBroken));
}

// Guards against requests that were held up while their connections were made
// and then reach a cold server together, after their permits have expired.
TEST_CASE("a request is not written after its permit has expired") {
  AttemptFixture fixture;
  fixture.Send(fixture.Connect(), EventLoop::BootNow() - Milliseconds(1));
  fixture.RunFor(Milliseconds(20));
  CHECK(fixture.end == AttemptEnd::kNotSent);
  CHECK_FALSE(fixture.sent);
  CHECK(fixture.received.empty());
  // The same on a connection that stands already.
  AttemptFixture standing;
  std::unique_ptr<TcpConnection> connection = standing.Connect();
  standing.RunFor(Milliseconds(20));
  REQUIRE(connection->connected());
  standing.Send(std::move(connection), EventLoop::BootNow() - Milliseconds(1));
  CHECK(standing.end == AttemptEnd::kNotSent);
  standing.RunFor(Milliseconds(20));
  CHECK(standing.received.empty());
}

// Guards against a request that is written to a server that may not get it any
// more, on a connection that was begun before.
TEST_CASE("a request is not written once its check does not allow it") {
  AttemptFixture fixture;
  fixture.Send(fixture.Connect(), std::nullopt);
  fixture.attempt->CheckUnwritten();
  CHECK_FALSE(fixture.end);
  fixture.obstacle = "draining";
  SECTION("when the connection is established") {
    fixture.RunFor(Milliseconds(20));
  }
  SECTION("before it is established") {
    fixture.attempt->CheckUnwritten();
  }
  CHECK(fixture.end == AttemptEnd::kWithheld);
  CHECK_FALSE(fixture.sent);
  fixture.RunFor(Milliseconds(20));
  CHECK(fixture.received.empty());
}

TEST_CASE("a request that was written is not withheld") {
  AttemptFixture fixture;
  fixture.Send(fixture.Connect(), std::nullopt);
  fixture.RunFor(Milliseconds(20));
  fixture.obstacle = "draining";
  fixture.attempt->CheckUnwritten();
  CHECK_FALSE(fixture.end);
}

}  // namespace
}  // namespace toucanhollow
