// Memory of requests that arrive behind one that is not answered yet.
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "standins/platform/large_body.h"
#include "standins/platform/relay_site.h"

namespace toucanhollow {
namespace {

constexpr std::size_t kKibibyte = 1024;
// What a host holds for one connection: the connection and its request, and
// the requests behind it.
constexpr std::size_t kConnectionBytes = 20 * kKibibyte;
constexpr std::size_t kRequestBytes = kConnectionBytes + 32 * kKibibyte;
constexpr std::size_t kPipelinedBytes = 16 * kKibibyte;

// The statuses of the answers on one connection, in order.
struct PipelinedAnswers {
  std::vector<int> statuses;
  ResponseParser parser{true};

  void Feed(const std::string& bytes) {
    this->parser.Feed(bytes);
    while (this->parser.done()) {
      this->statuses.push_back(this->parser.head().status);
      const std::string rest = this->parser.TakeUnparsedBytes();
      this->parser = ResponseParser(true);
      this->parser.Feed(rest);
    }
  }
};

// A connection on which many requests are sent at once.
struct PipeliningCaller {
  PipelinedAnswers answers;
  std::unique_ptr<TcpConnection> connection;
  bool ended = false;

  PipeliningCaller(EventLoop& loop, const Address& host)
      : connection(std::make_unique<TcpConnection>(loop, host)) {
    this->connection->SetCallbacks(
        {nullptr,
         [this](std::string_view bytes) {
           this->answers.Feed(std::string(bytes));
         },
         nullptr, [this](ConnectionEnd) { this->ended = true; }});
  }
};

// A request of more than 1 KB.
std::string Padded(const std::string& id) {
  return Request("GET", "/s/x", id,
                 "X-Padding: " + std::string(kKibibyte, 'p') + "\r\n");
}

std::string PaddedRequests(int count) {
  std::string requests;
  for (int i = 0; i < count; ++i) {
    requests += Padded("p" + std::to_string(i));
  }
  return requests;
}

double InputBytes(Site& site) {
  return Metric(site, "held_bytes{kind=\"input\"}");
}

double ConnectionBytes(Site& site) {
  return Metric(site, "memory_held_bytes{use=\"connection\"}");
}

// Guards against a host that takes more memory than it has, when callers send
// many requests without waiting for the answers.
TEST_CASE("little is held of requests behind one that is not answered") {
  constexpr int kRequests = 100;
  Site site;
  site.store.Put("keyed.op", "config", LargeBodyConfig());
  site.List("i-1", site.first, "ready");
  site.Start();
  REQUIRE(Serves(site));
  site.RunFor(Milliseconds(100));
  const double before = ConnectionBytes(site);
  site.first.script.push_back(DelayedAnswer(Milliseconds(500)));
  PipeliningCaller caller(site.loop, site.settings.callers);
  const bool in_one_read = GENERATE(true, false);
  const std::string slow = Request("GET", "/s/x", "r1");
  if (in_one_read) {
    caller.connection->Write(slow + PaddedRequests(kRequests));
  } else {
    caller.connection->Write(slow);
    REQUIRE(site.RunUntil([&] { return site.first.runs["r1"] == 1; }));
    caller.connection->Write(PaddedRequests(kRequests));
  }
  site.RunFor(Milliseconds(100));
  CHECK(InputBytes(site) > 0);
  CHECK(InputBytes(site) <= kPipelinedBytes);
  CHECK(ConnectionBytes(site) - before == kRequestBytes + kPipelinedBytes);
  CHECK(site.RunUntil(
      [&] { return caller.answers.statuses.size() == kRequests + 1; }));
  CHECK(caller.answers.statuses == std::vector<int>(kRequests + 1, 200));
  CHECK_FALSE(caller.ended);
  CHECK(InputBytes(site) == 0);
  CHECK(ConnectionBytes(site) - before == kConnectionBytes);
}

// Guards against requests that are lost without an answer, or held without
// memory for them.
TEST_CASE("requests for which there is no memory behind another are refused") {
  Site site;
  // Memory for two open requests, and less than 16 KB.
  site.settings.memory_bytes = 2 * (2 * kRequestBytes + 10 * kKibibyte);
  site.store.Put("keyed.op", "config", LargeBodyConfig());
  site.List("i-1", site.first, "ready");
  site.Start();
  REQUIRE(Serves(site));
  site.RunFor(Milliseconds(100));
  site.first.script = {DelayedAnswer(Milliseconds(300)),
                       DelayedAnswer(Milliseconds(300))};
  Caller other(site.loop, site.settings.callers);
  other.connection->Write(Request("GET", "/s/x", "r1"));
  REQUIRE(site.RunUntil([&] { return site.first.runs["r1"] == 1; }));
  PipeliningCaller caller(site.loop, site.settings.callers);
  caller.connection->Write(Request("GET", "/s/x", "r2") +
                           Request("GET", "/s/x", "r3"));
  REQUIRE(site.RunUntil([&] { return site.first.runs["r2"] == 1; }));
  caller.connection->Write(Request("GET", "/s/x", "r4"));
  site.RunFor(Milliseconds(50));
  CHECK(InputBytes(site) == 0);
  CHECK(site.RunUntil([&] { return caller.ended; }));
  CHECK(caller.answers.statuses == std::vector<int>{200, 503});
  CHECK(site.RunUntil([&] { return Ended(other); }));
  CHECK(Status(other) == 200);
  CHECK(site.first.runs["r3"] == 0);
  CHECK(site.first.runs["r4"] == 0);
}

}  // namespace
}  // namespace toucanhollow
