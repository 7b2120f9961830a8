#include "link/link.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <ctime>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

struct LinkPair {
  EventLoop loop;
  std::unique_ptr<LinkListener> listener;
  std::shared_ptr<Link> server;
  std::shared_ptr<Link> client;
  std::vector<std::string> server_messages;
  std::vector<std::string> client_messages;
  std::string server_closed;
  std::string client_closed;
  std::function<void()> on_progress;

  explicit LinkPair(const LinkLimits& limits = {}) {
    this->listener = std::make_unique<LinkListener>(
        this->loop, "127.0.0.1", 0, limits, [this](std::shared_ptr<Link> link) {
          this->server = std::move(link);
          return LinkEvents{[this] { this->on_progress(); },
                            [this](std::string_view message) {
                              this->server_messages.emplace_back(message);
                              this->on_progress();
                            },
                            [this](const std::string& reason) {
                              this->server_closed = reason;
                              this->on_progress();
                            }};
        });
    REQUIRE(this->listener->Error().empty());
    this->client =
        Link::Connect(this->loop, "127.0.0.1", this->listener->Port(), limits,
                      LinkEvents{[this] { this->on_progress(); },
                                 [this](std::string_view message) {
                                   this->client_messages.emplace_back(message);
                                   this->on_progress();
                                 },
                                 [this](const std::string& reason) {
                                   this->client_closed = reason;
                                   this->on_progress();
                                 }});
  }

  void RunUntil(const std::function<bool()>& condition) {
    this->on_progress = [this, condition] {
      if (condition()) {
        this->loop.Stop();
      }
    };
    this->loop.Run();
  }

  void WaitUntilOpen() {
    this->RunUntil([this] {
      return this->server && this->server->IsOpen() && this->client->IsOpen();
    });
  }
};

// Guards against messages that are truncated, merged or reordered when they
// span several reads or are queued for a full socket.
TEST_CASE("messages of all sizes arrive complete and in order") {
  LinkPair links;
  links.WaitUntilOpen();
  std::vector<std::string> sent;
  for (const std::size_t size : {0, 1, 125, 126, 65535, 65536, 1500000}) {
    sent.emplace_back(size, static_cast<char>('a' + sent.size()));
    REQUIRE(links.client->Send(sent.back()));
    REQUIRE(links.server->Send(sent.back()));
  }
  links.RunUntil([&] {
    return links.server_messages.size() == sent.size() &&
           links.client_messages.size() == sent.size();
  });
  CHECK((links.server_messages == sent && links.client_messages == sent));
}

// Guards against a close that discards messages sent before it.
TEST_CASE("messages sent before a close arrive") {
  LinkPair links;
  links.WaitUntilOpen();
  const std::string last(300000, 'z');
  REQUIRE(links.server->Send(last));
  links.server->Close();
  CHECK_FALSE(links.server->Send("after the close"));
  links.RunUntil([&] {
    return !links.client_closed.empty() && !links.server_closed.empty();
  });
  CHECK(links.client_messages == std::vector<std::string>{last});
}

// Guards against an unbounded send queue for a peer that does not read.
TEST_CASE("a full queue refuses messages and delivers the accepted ones") {
  LinkPair links;
  links.WaitUntilOpen();
  const std::string block(std::size_t{1} << 20, 'b');
  std::size_t accepted = 0;
  // The event loop does not run here, so the peer reads nothing.
  while (accepted < 64 && links.server->Send(block)) {
    ++accepted;
  }
  REQUIRE(accepted < 64);
  CHECK(links.server->QueuedBytes() <= (std::size_t{4} << 20) + 64);
  links.RunUntil([&] { return links.client_messages.size() == accepted; });
  CHECK(links.server->Send("again"));
}

// Guards against a peer that makes this process buffer a message of any size.
TEST_CASE("an oversized message closes the link") {
  LinkLimits limits;
  limits.max_message_bytes = 1000;
  LinkPair links(limits);
  links.WaitUntilOpen();
  REQUIRE(links.client->Send(std::string(1001, 'x')));
  links.RunUntil([&] {
    return !links.client_closed.empty() && !links.server_closed.empty();
  });
  CHECK(links.server_messages.empty());
}

// Guards against a connection attempt that fails without a callback.
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

// Guards against a loop that does nothing but fail to accept while the process
// has no free descriptor.
TEST_CASE("a link listener without descriptors waits and accepts later") {
  EventLoop loop;
  int accepted = 0;
  LinkListener listener(loop, "127.0.0.1", 0, {},
                        [&](const std::shared_ptr<Link>&) {
                          ++accepted;
                          return LinkEvents{};
                        });
  REQUIRE(listener.Error().empty());
  const auto client =
      Link::Connect(loop, "127.0.0.1", listener.Port(), {}, LinkEvents{});
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  rlimit low = before;
  low.rlim_cur = 100;
  REQUIRE(setrlimit(RLIMIT_NOFILE, &low) == 0);
  std::vector<int> taken;
  for (int opened = open("/dev/null", O_RDONLY); opened >= 0;
       opened = open("/dev/null", O_RDONLY)) {
    taken.push_back(opened);
  }
  const auto run_for = [&loop](Duration time) {
    const Timer end(loop, time, Duration(0), [&loop] { loop.Stop(); });
    loop.Run();
  };
  const std::clock_t begin = std::clock();
  run_for(Milliseconds(500));
  const double used_s =
      static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
  const int accepted_early = accepted;
  for (const int descriptor : taken) {
    close(descriptor);
  }
  CHECK(accepted_early == 0);
  CHECK(used_s < 0.1);
  run_for(Milliseconds(500));
  setrlimit(RLIMIT_NOFILE, &before);
  CHECK(accepted == 1);
}

}  // namespace
}  // namespace toucanhollow
