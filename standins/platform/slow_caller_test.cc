// Callers that read late, and a host that does.
#include <string>
#include <thread>

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

}  // namespace
}  // namespace toucanhollow
