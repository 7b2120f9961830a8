// Callers that read late, and a host that does.
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "standins/platform/relay_site.h"
#include "standins/platform/socket_caller.h"

namespace toucanhollow {
namespace {

std::string PatientRequest(const std::string& id) {
  std::string request = Request("GET", "/s/x", id);
  return request.replace(request.find("1500"), 4, "8000");
}

// Guards against an answer that is cut off because its caller reads nothing for
// a few seconds while its receive buffer is full.
TEST_CASE("a caller that reads late gets its whole answer") {
  Site site;
  std::string config = ConfigText(1, "\"k1\"");
  const std::string timeout = R"("timeout_ms":800)";
  for (std::size_t at = config.find(timeout); at != std::string::npos;
       at = config.find(timeout, at + 1)) {
    config.replace(at, timeout.size(), R"("timeout_ms":8000)");
  }
  site.store.Put("keyed.op", "config", config);
  site.List("i-1", site.first, "ready");
  site.Start();
  REQUIRE(Serves(site));
  const std::string body(1'000'000, 'a');
  site.first.script = {SealedAnswer(body)};
  SocketCaller caller(site.settings.callers);
  REQUIRE(caller.Send(PatientRequest("r1")));
  site.RunFor(Milliseconds(GENERATE(1000, 4500)));
  const bool done = site.RunUntil([&] {
    caller.Poll();
    return caller.parser.done() || caller.end() != SocketCaller::End::kOpen;
  });
  CHECK(done);
  CHECK(caller.end() == SocketCaller::End::kOpen);
  CHECK(caller.status() == 200);
  CHECK(caller.parser.TakeBody().size() == body.size());
}

// Guards against a refusal of a request that arrived in time, because the host
// stood still and checked its time limits before it read the rest.
TEST_CASE("a request that arrived while the host stood still is answered") {
  Site site;
  site.Configure();
  site.Start();
  REQUIRE(Serves(site));
  const std::string request = Request("POST", "/u/x", "r1", "", "body");
  const bool head_has_arrived = GENERATE(false, true);
  const std::size_t sent_early = head_has_arrived ? request.size() - 2 : 20;
  const Duration pause = Milliseconds(head_has_arrived ? 5200 : 500);
  SocketCaller caller(site.settings.callers);
  REQUIRE(caller.Send(request.substr(0, sent_early)));
  site.RunFor(Milliseconds(100));
  REQUIRE(caller.Send(request.substr(sent_early)));
  std::this_thread::sleep_for(pause);
  site.RunUntil([&] {
    caller.Poll();
    return caller.parser.done();
  });
  CHECK(caller.status() == 200);
}

// A body that is sent in units, one every 30 ms.
struct SlowBody {
  std::string framing;
  std::string unit;
  // Sent instead of a last unit, if the body ends.
  std::string end;
};

// Guards against a request that its caller holds open by a byte now and then,
// for as long as its largest body takes at that pace, and against one that
// arrives as slowly and in time, and is refused.
TEST_CASE("a slow body is read for 5 s, or as long as its caller waits") {
  const bool waits_longer = GENERATE(false, true);
  const int units = waits_longer ? 180 : 140;
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::vector<SlowBody> bodies = {
      {"Content-Length: 900\r\n", "a", ""},
      {chunked, "1\r\na\r\n", ""},
      {chunked + "X-A: b\r\n", "1;e=", ""},
      {"Content-Length: " + std::to_string(units) + "\r\n", "a", "a"},
      {chunked, "1\r\na\r\n", "0\r\n\r\n"}};
  Site site;
  std::string config = ConfigText(1, "\"k1\"");
  const std::string timeout = R"("timeout_ms":800)";
  config.replace(config.find(timeout), timeout.size(),
                 waits_longer ? R"("timeout_ms":6500)" : timeout);
  site.store.Put("keyed.op", "config", config);
  site.List("i-1", site.first, "ready");
  site.Start();
  REQUIRE(Serves(site));
  std::vector<std::unique_ptr<SocketCaller>> callers;
  std::vector<Duration> lasted(bodies.size());
  for (std::size_t i = 0; i < bodies.size(); ++i) {
    std::string head =
        Request("POST", "/u/x", "r" + std::to_string(i), bodies[i].framing);
    head.replace(head.find("1500"), 4, "9000");
    callers.push_back(std::make_unique<SocketCaller>(site.settings.callers));
    REQUIRE(callers.back()->Send(head));
  }
  const TimePoint asked_at = EventLoop::Now();
  for (int sent = 1; EventLoop::Now() - asked_at < Milliseconds(7500); ++sent) {
    site.RunFor(asked_at + sent * Milliseconds(30) - EventLoop::Now());
    for (std::size_t i = 0; i < bodies.size(); ++i) {
      SocketCaller& caller = *callers[i];
      caller.Poll();
      if (caller.parser.done()) {
        continue;
      }
      lasted[i] = EventLoop::Now() - asked_at;
      if (sent < units || bodies[i].end.empty()) {
        caller.Send(bodies[i].unit);
      } else if (sent == units) {
        caller.Send(bodies[i].end);
      }
    }
  }
  for (std::size_t i = 0; i < bodies.size(); ++i) {
    INFO(bodies[i].framing << "in pieces of " << bodies[i].unit);
    const bool ends = !bodies[i].end.empty();
    CHECK(callers[i]->status() == (ends ? 200 : 408));
    CHECK(site.first.runs["r" + std::to_string(i)] == (ends ? 1 : 0));
    if (!ends) {
      CHECK(lasted[i] >= Milliseconds(waits_longer ? 6400 : 4900));
      CHECK(lasted[i] < Milliseconds(waits_longer ? 7000 : 5500));
    }
  }
}

}  // namespace
}  // namespace toucanhollow
