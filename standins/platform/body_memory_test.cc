// Bodies that wait for memory, and how it is given back.
#include <algorithm>
#include <string>
#include <utility>

#include <catch2/catch.hpp>

#include "http_stream/write_message.h"
#include "standins/platform/large_body.h"
#include "standins/platform/relay_site.h"

namespace toucanhollow {
namespace {

constexpr std::size_t kMebibyte = std::size_t{1024} * 1024;
// More than half of what the host has for bodies.
constexpr std::size_t kBytes = 3'000'000;

// A host that has memory for one large body at a time.
struct SmallSite : Site {
  SmallSite() {
    this->settings.memory_bytes = 20 * kMebibyte;
    this->store.Put("keyed.op", "config", LargeBodyConfig());
    this->List("i-1", this->first, "ready");
    this->Start();
    REQUIRE(Serves(*this));
  }
  // The case must leave no memory held.
  ~SmallSite() {
    CHECK(
        this->RunUntil([this] { return this->LargeBytes() == 0; }, Seconds(3)));
    CHECK(Metric(*this, "waiting_bodies") == 0);
  }
  SmallSite(const SmallSite&) = delete;
  SmallSite& operator=(const SmallSite&) = delete;

  double LargeBytes() {
    return Metric(*this, "memory_held_bytes{use=\"large_body\"}");
  }
  // The next requests are answered after this time.
  void Delay(Duration delay) {
    this->first.script.push_back(DelayedAnswer(delay));
  }
  bool RunUntilEnded(const Caller& caller) {
    return this->RunUntil([&] { return Ended(caller); }, Seconds(10));
  }
};

std::string Upload(const std::string& id) {
  return LengthHead(id, kBytes) + std::string(kBytes, 'z');
}

std::string Chunk(std::size_t bytes) {
  return WriteChunk(std::string(bytes, 'c'));
}

std::string ChunkedHead(const std::string& id) {
  return Head(id, "Transfer-Encoding: chunked\r\n");
}

TEST_CASE("a body waits for memory and is served") {
  SmallSite site;
  site.Delay(Milliseconds(200));
  Caller before(site.loop, site.settings.callers);
  before.connection->Write(Upload("r1"));
  REQUIRE(site.RunUntil([&] { return site.first.runs["r1"] == 1; }));
  Caller caller(site.loop, site.settings.callers);
  caller.connection->Write(Upload("r2"));
  site.RunFor(Milliseconds(50));
  CHECK(Metric(site, "waiting_bodies") == 1);
  CHECK(Ask(site, Request("GET", "/s/x", "r3")).status == 200);
  CHECK(site.RunUntilEnded(caller));
  CHECK(Status(before) == 200);
  CHECK(Status(caller) == 200);
}

// Guards against a refusal that its caller never sees, comes late or is untrue.
TEST_CASE("a body that finds no memory in time is refused") {
  SmallSite site;
  site.Delay(Milliseconds(1500));
  Caller before(site.loop, site.settings.callers);
  before.connection->Write(Upload("r1"));
  REQUIRE(site.RunUntil([&] { return site.first.runs["r1"] == 1; }));
  const TimePoint start = EventLoop::Now();
  Caller caller(site.loop, site.settings.callers);
  caller.connection->Write(Upload("r2"));
  CHECK(site.RunUntilEnded(caller));
  CHECK(EventLoop::Now() - start < Milliseconds(900));
  CHECK(Status(caller) == 503);
  CHECK(HasRetryAfter(caller));
  CHECK(FindHeader(caller.parser.head().headers, "X-Toucanhollow-Request-Id") ==
        "r2");
  CHECK(Ask(site, Request("POST", "/u/x", "r3", "", "small")).status == 200);
  CHECK(site.RunUntilEnded(before));
  CHECK(Status(before) == 200);
  CHECK(site.first.runs["r2"] == 0);
}

// Guards against memory that is never given back.
TEST_CASE("memory of a body is free once its caller has left") {
  SmallSite site;
  const bool has_arrived = GENERATE(false, true);
  site.Delay(Seconds(5));
  {
    Caller left(site.loop, site.settings.callers);
    left.connection->Write(Upload("r1").substr(0, has_arrived ? -1 : kBytes));
    REQUIRE(site.RunUntil([&] {
      return has_arrived ? site.first.runs["r1"] == 1
                         : left.connection->unsent() == 0;
    }));
    CHECK(site.LargeBytes() == kBytes);
  }
  site.first.script.clear();
  Caller caller(site.loop, site.settings.callers);
  caller.connection->Write(Upload("r2"));
  CHECK(site.RunUntilEnded(caller));
  CHECK(Status(caller) == 200);
}

TEST_CASE("a caller may leave while its body waits for memory") {
  SmallSite site;
  site.Delay(Milliseconds(300));
  Caller before(site.loop, site.settings.callers);
  before.connection->Write(Upload("r1"));
  REQUIRE(site.RunUntil([&] { return site.first.runs["r1"] == 1; }));
  {
    Caller left(site.loop, site.settings.callers);
    left.connection->Write(Upload("r2"));
    site.RunFor(Milliseconds(50));
    CHECK(Metric(site, "waiting_bodies") == 1);
  }
  CHECK(site.RunUntilEnded(before));
  Caller caller(site.loop, site.settings.callers);
  caller.connection->Write(Upload("r3"));
  CHECK(site.RunUntilEnded(caller));
  CHECK(Status(caller) == 200);
  CHECK(site.first.runs["r2"] == 0);
}

// Guards against clients that take an interim response for the answer, and
// against a half-close behind a body that is taken for the caller's leaving.
TEST_CASE("a body that has waited is answered once, also after a half-close") {
  const bool half_closes = GENERATE(false, true);
  SmallSite site;
  site.Delay(Milliseconds(300));
  Caller before(site.loop, site.settings.callers);
  before.connection->Write(Upload("r1"));
  REQUIRE(site.RunUntil([&] { return site.first.runs["r1"] == 1; }));
  Caller caller(site.loop, site.settings.callers);
  std::string received;
  caller.connection->SetCallbacks(
      {nullptr,
       [&](std::string_view bytes) {
         received += bytes;
         caller.parser.Feed(bytes);
       },
       nullptr, [&](ConnectionEnd) { caller.ended = true; }});
  caller.connection->Write(Upload("r2"));
  if (half_closes) {
    caller.connection->FinishWriting();
  }
  site.RunFor(Milliseconds(50));
  CHECK(Metric(site, "waiting_bodies") == 1);
  CHECK(site.RunUntilEnded(caller));
  CHECK(Status(caller) == 200);
  CHECK(site.first.runs["r2"] == 1);
  CHECK((received.find(" 100 ") != std::string::npos) == half_closes);
}

// Guards against bodies that wait in the memory of the kernel, whose buffer has
// grown with earlier ones.
TEST_CASE("the kernel holds little of a body that waits for memory") {
  constexpr double kMaxUnreadBytes = 256.0 * 1024;
  SmallSite site;
  Caller kept(site.loop, site.settings.callers);
  for (int i = 0; i < 12; ++i) {
    kept.parser = ResponseParser(true);
    kept.connection->Write(Upload("k" + std::to_string(i)));
    REQUIRE(site.RunUntilEnded(kept));
  }
  site.Delay(Milliseconds(600));
  Caller before(site.loop, site.settings.callers);
  before.connection->Write(Upload("r1"));
  REQUIRE(site.RunUntil([&] { return site.first.runs["r1"] == 1; }));
  kept.parser = ResponseParser(true);
  kept.connection->Write(Upload("r2"));
  site.RunFor(Milliseconds(200));
  CHECK(Metric(site, "waiting_bodies") == 1);
  CHECK(Metric(site, "held_bytes{kind=\"unread\"}") < kMaxUnreadBytes);
  CHECK(site.RunUntilEnded(before));
}

// Guards against bodies of unknown length that wait for each other, each with
// a part of the memory.
TEST_CASE("bodies in chunks do not wait for each other") {
  SmallSite site;
  Caller one(site.loop, site.settings.callers);
  Caller two(site.loop, site.settings.callers);
  one.connection->Write(ChunkedHead("r1") + Chunk(15'000));
  two.connection->Write(ChunkedHead("r2") + Chunk(15'000));
  for (int i = 0; i < 10; ++i) {
    one.connection->Write(Chunk(200'000));
    two.connection->Write(Chunk(200'000));
    site.RunFor(Milliseconds(5));
  }
  one.connection->Write(LastChunk());
  two.connection->Write(LastChunk());
  CHECK(site.RunUntilEnded(one));
  CHECK(site.RunUntilEnded(two));
  CHECK(Status(one) == 200);
  CHECK(Status(two) == 200);
  REQUIRE(site.first.bodies.size() >= 2);
  CHECK(site.first.bodies.back().size() == 2'015'000);
}

// Guards against limits that a sound request meets when nothing else is held.
TEST_CASE("a body of the largest size is served in chunks of any size") {
  constexpr std::size_t kLargestBytes = 4 * kMebibyte;
  Site site;
  site.settings.memory_bytes = 128 * kMebibyte;
  site.store.Put("keyed.op", "config", LargeBodyConfig());
  site.List("i-1", site.first, "ready");
  site.Start();
  REQUIRE(Serves(site));
  Caller kept(site.loop, site.settings.callers);
  for (const std::size_t chunk_bytes : {7, 1000, 65'536, 4'194'304}) {
    INFO("chunks of " << chunk_bytes << " bytes");
    std::string bytes = ChunkedHead("c" + std::to_string(chunk_bytes));
    for (std::size_t left = kLargestBytes; left > 0;) {
      const std::size_t size = std::min(left, chunk_bytes);
      bytes += Chunk(size);
      left -= size;
    }
    kept.parser = ResponseParser(true);
    kept.connection->Write(bytes + std::string(LastChunk()));
    REQUIRE(site.RunUntil([&] { return Ended(kept); }, Seconds(10)));
    CHECK(Status(kept) == 200);
    CHECK_FALSE(kept.ended);
    CHECK(site.first.bodies.back().size() == kLargestBytes);
  }
}

TEST_CASE("a small body in chunks needs no memory of its own") {
  SmallSite site;
  site.Delay(Seconds(1));
  Caller before(site.loop, site.settings.callers);
  before.connection->Write(Upload("r1"));
  REQUIRE(site.RunUntil([&] { return site.first.runs["r1"] == 1; }));
  CHECK(Ask(site, ChunkedHead("r2") + Chunk(15'000) + std::string(LastChunk()))
            .status == 200);
  CHECK(Status(before) == 0);
  CHECK(site.RunUntilEnded(before));
}

// Guards against memory that callers keep by sending nothing.
TEST_CASE("a body that stops arriving gives its memory back") {
  SmallSite site;
  Caller stalled(site.loop, site.settings.callers);
  stalled.connection->Write(LengthHead("r1", kBytes) + "begun");
  REQUIRE(site.RunUntil([&] { return site.LargeBytes() == kBytes; }));
  Caller refused(site.loop, site.settings.callers);
  refused.connection->Write(Upload("r2"));
  CHECK(site.RunUntilEnded(refused));
  CHECK(Status(refused) == 503);
  CHECK(site.RunUntilEnded(stalled));
  CHECK(Status(stalled) == 408);
  Caller caller(site.loop, site.settings.callers);
  caller.connection->Write(Upload("r3"));
  CHECK(site.RunUntilEnded(caller));
  CHECK(Status(caller) == 200);
}

TEST_CASE("a caller is asked for its body once there is memory for it") {
  SmallSite site;
  site.Delay(Milliseconds(200));
  Caller before(site.loop, site.settings.callers);
  before.connection->Write(Upload("r1"));
  REQUIRE(site.RunUntil([&] { return site.first.runs["r1"] == 1; }));
  Caller caller(site.loop, site.settings.callers);
  std::string answer;
  caller.connection->SetCallbacks(
      {nullptr, [&](std::string_view bytes) { answer += bytes; }, nullptr,
       nullptr});
  caller.connection->Write(
      Head("r2", "Content-Length: " + std::to_string(kBytes) +
                     "\r\nExpect: 100-continue\r\n"));
  site.RunFor(Milliseconds(50));
  CHECK(answer.empty());
  CHECK(site.RunUntil([&] { return answer.ends_with("\r\n\r\n"); }));
  CHECK(answer.starts_with("HTTP/1.1 100 "));
  CHECK(Status(before) == 200);
  answer.clear();
  caller.connection->Write(std::string(kBytes, 'z'));
  CHECK(site.RunUntil([&] { return answer.starts_with("HTTP/1.1 200 "); }));
}

TEST_CASE("a pipelined body waits for memory") {
  SmallSite site;
  site.Delay(Milliseconds(200));
  Caller before(site.loop, site.settings.callers);
  before.connection->Write(Upload("r1"));
  REQUIRE(site.RunUntil([&] { return site.first.runs["r1"] == 1; }));
  Caller caller(site.loop, site.settings.callers);
  caller.connection->Write(Request("GET", "/s/x", "r2") + Upload("r3") +
                           Request("GET", "/s/x", "r4"));
  CHECK(site.RunUntil([&] { return site.first.runs["r4"] == 1; }, Seconds(10)));
  CHECK(site.first.runs["r2"] == 1);
  CHECK(site.first.runs["r3"] == 1);
  CHECK(site.RunUntilEnded(before));
}

TEST_CASE("a body that waits for memory is refused when the host stops") {
  Site site;
  site.settings.memory_bytes = 20 * kMebibyte;
  site.settings.grace = Milliseconds(1000);
  site.store.Put("keyed.op", "config", LargeBodyConfig());
  site.List("i-1", site.first, "ready");
  site.Start();
  REQUIRE(Serves(site));
  site.first.script.push_back(DelayedAnswer(Seconds(3)));
  Caller before(site.loop, site.settings.callers);
  before.connection->Write(Upload("r1"));
  REQUIRE(site.RunUntil([&] { return site.first.runs["r1"] == 1; }));
  bool stopped = false;
  site.host->Shutdown([&] { stopped = true; });
  Caller caller(site.loop, site.settings.callers);
  caller.connection->Write(Upload("r2"));
  CHECK(site.RunUntil([&] { return stopped; }));
  CHECK(Status(caller) == 503);
  CHECK(Status(before) == 504);
}

}  // namespace
}  // namespace toucanhollow
