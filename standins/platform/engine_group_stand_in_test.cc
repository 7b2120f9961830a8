#include "standins/platform/engine_group_stand_in.h"

#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "http_stream/tcp_connection.h"

namespace toucanhollow {
namespace {

// Guards against a server that handles the requests which have arrived when it
// is destroyed, and reads members of the stand-in that are gone. The address
// sanitizer sees this in each run.
TEST_CASE("a group of engines can end while requests arrive") {
  EventLoop loop;
  auto group = std::make_unique<EngineGroupStandIn>(loop, EngineGroupShape{});
  group->demand = {{1, 2}, {3, 4}};
  const auto run_for = [&loop](Duration time) {
    const Timer end(loop, time, Duration(0), [&loop] { loop.Stop(); });
    loop.Run();
  };
  std::vector<std::unique_ptr<TcpConnection>> callers;
  for (int rank = 0; rank < EngineGroupShape{}.ranks; ++rank) {
    for (const std::string path :
         {"/v1/report", "/v1/picked", "/v1/picked?x"}) {
      const std::string request =
          "GET " + path + " HTTP/1.1\r\nHost: e\r\n\r\n";
      callers.push_back(std::make_unique<TcpConnection>(
          loop, Address{"127.0.0.1", group->Port(rank)}));
      callers.back()->Write(request);
      run_for(Milliseconds(40));
      callers.back()->Write(request);
    }
  }
  for (const auto& caller : callers) {
    caller->Write("GET /v1/report HTTP/1.1\r\nHost: e\r\n\r\n");
  }
  group.reset();
  run_for(Milliseconds(40));
  CHECK(callers.size() == 12);
}

}  // namespace
}  // namespace toucanhollow
