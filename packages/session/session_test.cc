#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "session/dialer.h"
#include "session/session.h"
#include "wire/codec.h"

namespace toucanhollow {
namespace {

Settings MakeSettings(const std::string& name, const std::string& key) {
  Settings settings;
  settings.process = {name};
  settings.role = Role::kEndpoint;
  settings.data_centre = {"nadi-south"};
  settings.shared_key = key;
  return settings;
}

LocalMessages MakeLocalMessages() {
  return LocalMessages{[] {
                         Hello hello;
                         hello.role = "endpoint";
                         return hello;
                       },
                       [] {
                         Heartbeat heartbeat;
                         heartbeat.limit = 7;
                         return heartbeat;
                       }};
}

// An agent that listens, and a dialer that connects to it.
struct Pair {
  EventLoop loop;
  ProcessContext server;
  ProcessContext client;
  std::unique_ptr<SessionListener> listener;
  std::vector<std::shared_ptr<Session>> accepted;
  std::vector<Message> received;
  std::vector<ResultCode> server_closed;
  std::unique_ptr<Dialer> dialer;
  std::vector<Message> answers;
  int ups = 0;
  int downs = 0;
  std::function<bool()> done;

  Pair(const std::string& server_key, const std::string& client_key)
      : server(loop, MakeSettings("agent", server_key)),
        client(loop, MakeSettings("entry", client_key)) {
    this->Listen(0);
  }

  void Check() {
    if (this->done && this->done()) {
      this->loop.Stop();
    }
  }

  void Listen(std::uint16_t port) {
    this->listener = std::make_unique<SessionListener>(
        this->server, Address{"127.0.0.1", port}, MakeLocalMessages(),
        [this](std::shared_ptr<Session> session) {
          this->accepted.push_back(std::move(session));
          return SessionEvents{nullptr,
                               [this](Message message) {
                                 this->received.push_back(std::move(message));
                                 this->Check();
                               },
                               [this](const Failure& reason) {
                                 this->server_closed.push_back(reason.code);
                                 this->Check();
                               }};
        });
    REQUIRE(this->listener->Error().empty());
  }

  std::uint16_t Port() const {
    return static_cast<std::uint16_t>(this->listener->Port());
  }

  void Dial(std::vector<Address> addresses) {
    this->dialer = std::make_unique<Dialer>(
        this->client, std::move(addresses), MakeLocalMessages(),
        DialerEvents{[this](const Hello&) {
                       ++this->ups;
                       this->Check();
                     },
                     [this](Message message) {
                       this->answers.push_back(std::move(message));
                       this->Check();
                     },
                     [this](const Failure&) {
                       ++this->downs;
                       this->Check();
                     }});
  }

  void RunUntil(std::function<bool()> condition) {
    this->done = std::move(condition);
    this->loop.Run();
  }
};

// Guards against messages that are exchanged before the Hello, and against a
// peer that does not report its load at first.
TEST_CASE("both sides send Hello and Heartbeat before other messages") {
  Pair pair("", "");
  pair.Dial({{"127.0.0.1", pair.Port()}});
  CHECK_FALSE(pair.dialer->Send(Cancel{{"too early"}}));
  pair.RunUntil([&] { return pair.ups == 1 && !pair.answers.empty(); });
  CHECK(std::get<Heartbeat>(pair.answers.front()).limit == 7);
  REQUIRE(pair.dialer->Send(Cancel{{"d"}}));
  pair.RunUntil([&] {
    return !pair.received.empty() &&
           std::holds_alternative<Cancel>(pair.received.back());
  });
  CHECK(std::get<Cancel>(pair.received.back()).dispatch_id.value == "d");
}

// Guards against accepting work from a process without the shared key.
TEST_CASE("a peer with another shared key is refused") {
  Pair pair("right", "wrong");
  pair.Dial({{"127.0.0.1", pair.Port()}});
  pair.RunUntil([&] { return !pair.server_closed.empty(); });
  CHECK(pair.server_closed.front() == ResultCode::kLinkUnauthorized);
  CHECK(pair.received.empty());
  CHECK(pair.ups == 0);
}

// Guards against accepting a peer whose first message is not a Hello, or whose
// Hello has no common protocol version.
TEST_CASE("a peer without a valid Hello is refused") {
  Hello future;
  future.version_min = kProtocolVersionMax + 1;
  future.version_max = kProtocolVersionMax + 2;
  const std::vector<std::pair<std::string, ResultCode>> cases = {
      {EncodeMessage(Cancel{{"d"}}), ResultCode::kFrameMalformed},
      {EncodeMessage(future), ResultCode::kProtocolVersionMismatch},
      {"not CBOR", ResultCode::kFrameMalformed}};
  for (const auto& entry : cases) {
    const std::string& frame = entry.first;
    Pair pair("", "");
    std::shared_ptr<Link> link;
    link =
        Link::Connect(pair.loop, "127.0.0.1", pair.listener->Port(), {},
                      LinkEvents{[&] { link->Send(frame); }, nullptr, nullptr});
    pair.RunUntil([&] { return !pair.server_closed.empty(); });
    CHECK(pair.server_closed.front() == entry.second);
    CHECK(pair.received.empty());
  }
}

// Guards against a link that stays down after its process was replaced, and
// against trying only one of several addresses of an endpoint.
TEST_CASE("a dialer reconnects and tries each address") {
  Pair pair("", "");
  const std::uint16_t port = pair.Port();
  // Nothing listens on port 1.
  pair.Dial({{"127.0.0.1", 1}, {"127.0.0.1", port}});
  pair.RunUntil([&] { return pair.ups == 1; });
  pair.listener.reset();
  pair.accepted.clear();
  pair.RunUntil([&] { return pair.downs == 1; });
  pair.Listen(port);
  pair.RunUntil([&] { return pair.ups == 2; });
  CHECK(pair.dialer->Send(Cancel{{"again"}}));
}

}  // namespace
}  // namespace toucanhollow
