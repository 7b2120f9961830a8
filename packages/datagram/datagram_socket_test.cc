#include "datagram/datagram_socket.h"

#include <string>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

TEST_CASE("datagrams come whole and with their sender") {
  EventLoop loop;
  std::string got;
  Address from;
  auto receiver =
      DatagramSocket::Bind(loop, {"127.0.0.1", 0},
                           [&](const Address& sender, std::string_view bytes) {
                             from = sender;
                             got = bytes;
                             loop.Stop();
                           });
  REQUIRE(receiver);
  auto sender = DatagramSocket::Bind(loop, {"127.0.0.1", 0},
                                     [](const Address&, std::string_view) {});
  REQUIRE(sender);
  const Timer limit(loop, Seconds(5), Duration(0), [&loop] { loop.Stop(); });
  const std::string sent(20000, 'x');
  sender.value()->Send(receiver.value()->BoundAddress(), sent);
  loop.Run();
  CHECK(got == sent);
  CHECK(from == sender.value()->BoundAddress());
}

// Guards against a bound port that is reported as success and never heard.
TEST_CASE("a port that is taken is an error") {
  EventLoop loop;
  auto first = DatagramSocket::Bind(loop, {"127.0.0.1", 0},
                                    [](const Address&, std::string_view) {});
  REQUIRE(first);
  const auto second =
      DatagramSocket::Bind(loop, first.value()->BoundAddress(),
                           [](const Address&, std::string_view) {});
  REQUIRE_FALSE(second);
  CHECK(second.error().code == ResultCode::kSettingsInvalid);
}

}  // namespace
}  // namespace toucanhollow
