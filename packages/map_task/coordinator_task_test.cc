#include "map_task/coordinator_task.h"

#include <memory>
#include <stdexcept>
#include <string>

#include <catch2/catch.hpp>

#include "http_server/http_server.h"

namespace toucanhollow {
namespace {

HttpCall MakeJoinCall(const Address& store,
                      const std::string&,
                      std::int64_t,
                      Duration) {
  HttpCall call;
  call.url = "http://127.0.0.1:" + std::to_string(store.port) + "/join";
  return call;
}

Result<MemberAssignment> DecodeAssignment(const std::string&) {
  return MemberAssignment{.generation = 1, .partitions = {0}};
}

// Guards against a host that lets its membership lapse after an exception.
TEST_CASE("a membership is renewed after an exception of the receiver") {
  EventLoop loop;
  auto listening =
      HttpServer::Listen(loop, {},
                         [](const HttpRequest&,
                            const std::shared_ptr<HttpResponseWriter>& writer) {
                           writer->Respond(200, {}, "{}");
                         });
  REQUIRE(listening);
  EngineMapCodec codec;
  codec.join_call = MakeJoinCall;
  codec.decode_assignment = DecodeAssignment;
  int joined = 0;
  const CoordinatorTask task(
      loop, codec, {{"127.0.0.1", listening.value()->Port()}, 1, "front-1.1"},
      [&](const JoinAnswer&) {
        if (++joined == 1) {
          throw std::runtime_error("the receiver fails once");
        }
        loop.Stop();
      });
  const Timer limit(loop, Seconds(5), Duration(0), [&] { loop.Stop(); });
  loop.Run();
  CHECK(joined == 2);
}

}  // namespace
}  // namespace toucanhollow
