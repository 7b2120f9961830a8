#include "standins/weight_store/weight_store_stand_in.h"

#include <catch2/catch.hpp>

#include "weight_store/weight_store.h"

namespace toucanhollow {
namespace {

// Guards against a limit that looks like a fault, and against a short object
// that looks whole.
TEST_CASE("fetches beyond the limit are refused as limited") {
  EventLoop loop;
  WeightStoreStandIn stand_in(loop, {10'000'000, 1});
  auto server = HttpServer::Listen(
      loop, {}, [&](const HttpRequest& request, const auto& writer) {
        stand_in.Handle(request, writer);
      });
  REQUIRE(server.has_value());
  const std::string address =
      "127.0.0.1:" + std::to_string(server.value()->Port());
  HttpClient client(loop);
  int whole = 0;
  int limited = 0;
  const auto count = [&](const Result<WeightFetch>& result) {
    if (result.has_value()) {
      CHECK(result.value().bytes == 1'000'000);
      ++whole;
    } else {
      CHECK(result.error().code == ResultCode::kWeightStoreLimited);
      ++limited;
    }
    if (whole + limited == 2) {
      loop.Stop();
    }
  };
  FetchWeights(client, address, "m", 1'000'000, count);
  FetchWeights(client, address, "m", 1'000'000, count);
  loop.Run();
  CHECK(whole == 1);
  CHECK(limited == 1);
}

}  // namespace
}  // namespace toucanhollow
