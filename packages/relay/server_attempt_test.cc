#include "relay/server_attempt.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "http_stream/tcp_connection.h"
#include "relay/server_connection_pool.h"

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

// An answer to this request: its head without the framing, and a body of four
// bytes.
struct FramedAnswer {
  std::string bytes;
  bool ends_with_connection = false;
};

std::vector<FramedAnswer> FrameAnswers(const std::string& id,
                                       const std::string& body) {
  const std::string head = "HTTP/1.1 200 OK\r\nId: " + id + "\r\n";
  const std::string with_length = head + "Content-Length: 4\r\n\r\n" + body;
  return {
      {with_length},
      {head + "Transfer-Encoding: chunked\r\n\r\n2\r\n" + body.substr(0, 2) +
       "\r\n2\r\n" + body.substr(2) + "\r\n0\r\n\r\n"},
      {"HTTP/1.1 100 Continue\r\n\r\n" + with_length},
      {head + "\r\n" + body, true},
  };
}

// One request on a connection that has carried others, and what its caller
// gets.
struct ReusedConnection {
  AttemptFixture fixture;
  std::vector<std::string> head_ids;
  std::string body;

  ReusedConnection() {
    this->fixture.codec.read_response = [](const ResponseHead& head) {
      ResponseMetadata metadata;
      metadata.request_id = FindHeader(head.headers, "Id");
      metadata.sealed = true;
      return metadata;
    };
  }

  std::unique_ptr<TcpConnection> Connect() {
    this->fixture.accepted.reset();
    std::unique_ptr<TcpConnection> connection = this->fixture.Connect();
    while (this->fixture.accepted == nullptr || !connection->connected()) {
      this->fixture.RunFor(Milliseconds(1));
    }
    this->head_ids.clear();
    this->body.clear();
    this->fixture.end.reset();
    return connection;
  }

  // Sends request r1 on it.
  void Send(std::unique_ptr<TcpConnection> connection) {
    AttemptCallbacks callbacks;
    callbacks.on_head = [this](const ResponseHead&,
                               const ResponseMetadata& metadata) {
      this->head_ids.push_back(metadata.request_id);
    };
    callbacks.on_body = [this](const std::string& bytes) {
      this->body += bytes;
    };
    callbacks.on_end = [this](AttemptEnd end, std::string_view) {
      this->fixture.end = end;
    };
    this->fixture.attempt = std::make_unique<ServerAttempt>(
        std::move(connection), true, this->fixture.codec,
        "GET / HTTP/1.1\r\n\r\n", "r1", true, std::move(callbacks));
    this->fixture.attempt->Start(std::nullopt);
  }

  void Write(const std::string& bytes) { this->fixture.accepted->Write(bytes); }

  void Read() {
    while (!this->fixture.end && this->fixture.attempt->ReadPending()) {
    }
  }
};

// Guards against a caller that gets another request's answer, which came before
// or after the request was written on a connection that is in use again.
TEST_CASE("a copy of an earlier answer is nobody's, however it is split") {
  ReusedConnection reused;
  const std::string mine = FrameAnswers("r1", "mine")[0].bytes;
  const bool doubled = GENERATE(false, true);
  const std::size_t before_request = GENERATE(0, 1, 2);
  for (const FramedAnswer& copy : FrameAnswers("r0", "left")) {
    const std::string older = FrameAnswers("r-1", "past")[1].bytes;
    const std::string bytes =
        (doubled ? older : std::string()) + copy.bytes + mine;
    for (std::size_t split = 0; split <= bytes.size(); ++split) {
      INFO("split at " << split << " of " << bytes);
      std::unique_ptr<TcpConnection> connection = reused.Connect();
      const std::vector<std::string> pieces = {bytes.substr(0, split),
                                               bytes.substr(split)};
      for (std::size_t i = 0; i < before_request; ++i) {
        reused.Write(pieces[i]);
      }
      reused.Send(std::move(connection));
      reused.Read();
      for (std::size_t i = before_request; i < pieces.size(); ++i) {
        reused.Write(pieces[i]);
        reused.Read();
      }
      if (copy.ends_with_connection) {
        // Whatever follows such a copy is part of it.
        REQUIRE(reused.head_ids.empty());
        REQUIRE(reused.body.empty());
        reused.fixture.accepted.reset();
        reused.Read();
        REQUIRE(reused.fixture.end == AttemptEnd::kBroken);
        REQUIRE(reused.head_ids.empty());
        REQUIRE(reused.body.empty());
        continue;
      }
      REQUIRE(reused.fixture.end == AttemptEnd::kComplete);
      REQUIRE(reused.head_ids == std::vector<std::string>{"r1"});
      REQUIRE(reused.body == "mine");
      REQUIRE(reused.fixture.attempt->TakeConnection() == nullptr);
    }
  }
}

// Guards against a kept connection with unread bytes that carries another
// request.
TEST_CASE("a connection with bytes behind its answer is not used again") {
  ReusedConnection reused;
  for (const FramedAnswer& mine : FrameAnswers("r1", "mine")) {
    if (mine.ends_with_connection) {
      continue;
    }
    for (const FramedAnswer& copy : FrameAnswers("r1", "mine")) {
      const std::string bytes = mine.bytes + copy.bytes;
      for (std::size_t split = 0; split < bytes.size(); ++split) {
        INFO("split at " << split << " of " << bytes);
        reused.Send(reused.Connect());
        reused.Write(bytes.substr(0, split));
        reused.Read();
        ServerConnectionPool pool({});
        const TimePoint now = EventLoop::Now();
        const auto keep = [&] {
          auto connection = reused.fixture.attempt->TakeConnection();
          if (connection != nullptr) {
            pool.AddIdle(std::move(connection), Seconds(5), now);
          }
        };
        if (reused.fixture.end) {
          keep();
        }
        reused.Write(bytes.substr(split));
        if (!reused.fixture.end) {
          reused.Read();
          keep();
        }
        REQUIRE(reused.fixture.end == AttemptEnd::kComplete);
        REQUIRE(reused.body == "mine");
        REQUIRE(pool.TakeIdle(now) == nullptr);
      }
    }
  }
}

// Guards against a request that waits until its deadline behind answers to
// others, each of them whole and none with a body.
TEST_CASE("answers to other requests are skipped up to a size only") {
  constexpr std::size_t kMaxReadBytes = std::size_t{300} * 1024;
  ReusedConnection reused;
  const std::string head = "HTTP/1.1 204 No Content\r\nId: r0\r\n";
  const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nId: r0\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string stray = GENERATE_COPY(
      head + "\r\n", interim + head + "\r\n",
      chunked + "0;" + std::string(2000, 'e') + "\r\n\r\n",
      chunked + "0\r\nX-A: " + std::string(2000, 'a') + "\r\n\r\n");
  reused.Send(reused.Connect());
  std::size_t written = 0;
  while (!reused.fixture.end && written < 2 * kMaxReadBytes) {
    reused.Write(stray);
    written += stray.size();
    reused.Read();
  }
  CHECK(reused.fixture.end == AttemptEnd::kBroken);
  CHECK(written < kMaxReadBytes);
  CHECK(reused.head_ids.empty());
}

}  // namespace
}  // namespace toucanhollow
