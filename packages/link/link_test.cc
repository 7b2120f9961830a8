#include "link/link.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

struct Pair {
  EventLoop loop;
  std::unique_ptr<LinkListener> listener;
  std::shared_ptr<Link> server;
  std::shared_ptr<Link> client;
  std::vector<std::string> server_messages;
  std::vector<std::string> client_messages;
  std::string server_closed;
  std::string client_closed;
  std::function<void()> progress;

  explicit Pair(const LinkLimits& limits = {}) {
    this->listener = std::make_unique<LinkListener>(
        this->loop, "127.0.0.1", 0, limits, [this](std::shared_ptr<Link> link) {
          this->server = std::move(link);
          return LinkEvents{[this] { this->progress(); },
                            [this](std::string_view message) {
                              this->server_messages.emplace_back(message);
                              this->progress();
                            },
                            [this](const std::string& reason) {
                              this->server_closed = reason;
                              this->progress();
                            }};
        });
    REQUIRE(this->listener->Error().empty());
    this->client =
        Link::Connect(this->loop, "127.0.0.1", this->listener->Port(), limits,
                      LinkEvents{[this] { this->progress(); },
                                 [this](std::string_view message) {
                                   this->client_messages.emplace_back(message);
                                   this->progress();
                                 },
                                 [this](const std::string& reason) {
                                   this->client_closed = reason;
                                   this->progress();
                                 }});
  }

  void RunUntil(const std::function<bool()>& condition) {
    this->progress = [this, condition] {
      if (condition()) {
        this->loop.Stop();
      }
    };
    this->loop.Run();
  }

  void Open() {
    this->RunUntil([this] {
      return this->server && this->server->IsOpen() && this->client->IsOpen();
    });
  }
};

// Guards against messages that are cut, joined or reordered when they span
// several reads or wait for the socket.
TEST_CASE("messages of all sizes arrive whole and in order") {
  Pair pair;
  pair.Open();
  std::vector<std::string> sent;
  for (const std::size_t size : {0, 1, 125, 126, 65535, 65536, 1500000}) {
    sent.emplace_back(size, static_cast<char>('a' + sent.size()));
    REQUIRE(pair.client->Send(sent.back()));
    REQUIRE(pair.server->Send(sent.back()));
  }
  pair.RunUntil([&] {
    return pair.server_messages.size() == sent.size() &&
           pair.client_messages.size() == sent.size();
  });
  CHECK((pair.server_messages == sent && pair.client_messages == sent));
}

// Guards against a close that overtakes messages sent before it.
TEST_CASE("messages sent before a close arrive") {
  Pair pair;
  pair.Open();
  const std::string last(300000, 'z');
  REQUIRE(pair.server->Send(last));
  pair.server->Close();
  CHECK_FALSE(pair.server->Send("after the close"));
  pair.RunUntil([&] {
    return !pair.client_closed.empty() && !pair.server_closed.empty();
  });
  CHECK(pair.client_messages == std::vector<std::string>{last});
}

// Guards against a queue without bound towards a peer that does not read.
TEST_CASE("a full queue refuses and keeps what it accepted") {
  Pair pair;
  pair.Open();
  const std::string block(std::size_t{1} << 20, 'b');
  std::size_t accepted = 0;
  // The peer's loop does not run meanwhile, so nothing is read.
  while (accepted < 64 && pair.server->Send(block)) {
    ++accepted;
  }
  REQUIRE(accepted < 64);
  CHECK(pair.server->QueuedBytes() <= (std::size_t{4} << 20) + 64);
  pair.RunUntil([&] { return pair.client_messages.size() == accepted; });
  CHECK(pair.server->Send("again"));
}

// Guards against a peer that makes this process hold a message without bound.
TEST_CASE("an oversized message closes the link") {
  LinkLimits limits;
  limits.max_message_bytes = 1000;
  Pair pair(limits);
  pair.Open();
  REQUIRE(pair.client->Send(std::string(1001, 'x')));
  pair.RunUntil([&] {
    return !pair.client_closed.empty() && !pair.server_closed.empty();
  });
  CHECK(pair.server_messages.empty());
}

// Guards against a silent failure of a connection attempt.
TEST_CASE("a refused connection is reported") {
  EventLoop loop;
  int port = 0;
  {
    const LinkListener closed(
        loop, "127.0.0.1", 0, {},
        [](const std::shared_ptr<Link>&) -> LinkEvents { return {}; });
    port = closed.Port();
  }
  std::string reason;
  const auto link =
      Link::Connect(loop, "127.0.0.1", port, {},
                    LinkEvents{nullptr, nullptr, [&](const std::string& text) {
                                 reason = text;
                                 loop.Stop();
                               }});
  loop.Run();
  CHECK_FALSE(reason.empty());
}

}  // namespace
}  // namespace toucanhollow
