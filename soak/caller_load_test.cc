#include "soak/caller_load.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

constexpr int kCallers = 16;

// Refuses requests some time after they came, and either keeps or closes the
// connections of callers that have shut their sending side down before that.
class RefusingHost {
 public:
  RefusingHost(EventLoop& loop, bool answers_half_closed)
      : loop(loop), answers_half_closed(answers_half_closed) {
    auto listening = TcpListener::Listen(
        loop, {"127.0.0.1", 0}, [this](int socket) { this->Accept(socket); });
    REQUIRE(listening.has_value());
    this->listener = std::move(listening.value());
  }

  Address HostAddress() const { return {"127.0.0.1", this->listener->Port()}; }

  int half_closes_in_time = 0;

 private:
  struct Session {
    std::unique_ptr<TcpConnection> connection;
    std::unique_ptr<RequestParser> parser =
        std::make_unique<RequestParser>(ParserLimits{});
    std::vector<std::unique_ptr<Timer>> answers;
    int unanswered = 0;
  };

  void Accept(int socket) {
    this->sessions.push_back(std::make_unique<Session>());
    Session& session = *this->sessions.back();
    session.connection = std::make_unique<TcpConnection>(this->loop, socket);
    session.connection->SetCallbacks({nullptr,
                                      [this, &session](std::string_view bytes) {
                                        this->Read(session, bytes);
                                      },
                                      nullptr, nullptr,
                                      [this, &session] {
                                        this->half_closes_in_time +=
                                            session.unanswered > 0 ? 1 : 0;
                                        return this->answers_half_closed;
                                      }});
  }

  void Read(Session& session, std::string_view bytes) {
    std::string rest(bytes);
    while (!rest.empty()) {
      session.parser->Feed(rest);
      if (!session.parser->done()) {
        return;
      }
      rest = session.parser->TakeUnparsedBytes();
      this->AnswerLater(session);
    }
  }

  void AnswerLater(Session& session) {
    const std::string id(FindHeader(session.parser->head().headers,
                                    "X-Toucanhollow-Request-Id"));
    session.parser = std::make_unique<RequestParser>(ParserLimits{});
    ++session.unanswered;
    session.answers.push_back(std::make_unique<Timer>(
        this->loop, Milliseconds(30), Duration(0), [&session, id] {
          --session.unanswered;
          session.connection->Write(
              "HTTP/1.1 503 Busy\r\nX-Toucanhollow-Request-Id: " + id +
              "\r\nContent-Length: 0\r\n\r\n");
        }));
  }

  EventLoop& loop;
  bool answers_half_closed;
  std::unique_ptr<TcpListener> listener;
  std::vector<std::unique_ptr<Session>> sessions;
};

struct PlayedLoad {
  explicit PlayedLoad(bool answers_half_closed)
      : host(this->loop, answers_half_closed),
        callers(this->loop,
                this->ledger,
                {{this->host.HostAddress(), [] { return TimePoint(); },
                  [] { return std::nullopt; }, Seconds(4)}},
                1,
                kCallers) {
    const Timer end(this->loop, Seconds(2), Duration(0),
                    [this] { this->loop.Stop(); });
    this->loop.Run();
  }

  EventLoop loop;
  Ledger ledger;
  RefusingHost host;
  CallerLoad callers;
};

}  // namespace

// Guards against callers that shut their sending side down and do not wait for
// the answer.
TEST_CASE("callers that shut their sending side down take the answer") {
  PlayedLoad played(true);
  INFO(played.ledger.requests.size() << " requests");
  CHECK(played.host.half_closes_in_time > 10);
  CHECK(played.ledger.answered_half_closed > 10);
  CHECK(played.ledger.broken.empty());
}

// Guards against a host that takes a half-close for the end of its caller and
// is not found out.
TEST_CASE("a half-closed caller without an answer is one that was lost") {
  PlayedLoad played(false);
  CHECK(played.ledger.ended[RequestEndKind::kLost] > 10);
  REQUIRE_FALSE(played.ledger.broken.empty());
  for (const std::string& broken : played.ledger.broken) {
    CHECK(broken.find("half-closed") != std::string::npos);
  }
}

}  // namespace toucanhollow
