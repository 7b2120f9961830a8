#include "standins/host_list/host_list_stand_in.h"

#include <catch2/catch.hpp>

#include "host_list/host_list.h"

namespace toucanhollow {
namespace {

// Guards against a stand-in without lag, which would hide wrong trust in it.
TEST_CASE("changes are shown after the lag") {
  EventLoop loop;
  HostListStandIn stand_in(Duration(0));
  auto server = HttpServer::Listen(
      loop, {}, [&](const HttpRequest& request, const auto& writer) {
        stand_in.Handle(request, *writer);
      });
  REQUIRE(server.has_value());
  const std::string address =
      "127.0.0.1:" + std::to_string(server.value()->Port());
  HttpClient client(loop);
  const auto control = [&](const std::string& path) {
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + address + "/control/" + path;
    HttpCallbacks callbacks;
    callbacks.on_done = [&](const HttpOutcome& outcome) {
      CHECK(outcome.status == 200);
      loop.Stop();
    };
    client.Start(call, std::move(callbacks));
    loop.Run();
  };
  const auto read = [&] {
    Result<std::vector<ListedHost>> result =
        MakeFailure(ResultCode::kSettingsUnreadable, "");
    ReadHostList(client, address, [&](auto hosts) {
      result = std::move(hosts);
      loop.Stop();
    });
    loop.Run();
    return result;
  };
  control("host?name=e1&address=a:1&data_centre=d&role=endpoint&state=live");
  const ListedHost host{"e1", "a:1", "d", "endpoint", false};
  CHECK(read().value() == std::vector<ListedHost>{host});
  control("lag?ms=100000");
  control("host?name=e1&state=gone");
  CHECK(read().value() == std::vector<ListedHost>{host});
  control("outage?ms=100000");
  CHECK_FALSE(read().has_value());
}

}  // namespace
}  // namespace toucanhollow
