#include "datagram/datagram_socket.h"

#include <memory>
#include <string>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

TEST_CASE("datagrams arrive complete and with the sender's address") {
  EventLoop loop;
  std::string received_bytes;
  Address from;
  auto receiver =
      DatagramSocket::Bind(loop, {"127.0.0.1", 0},
                           [&](const Address& sender, std::string_view bytes) {
                             from = sender;
                             received_bytes = bytes;
                             loop.Stop();
                           });
  REQUIRE(receiver);
  auto sender = DatagramSocket::Bind(loop, {"127.0.0.1", 0},
                                     [](const Address&, std::string_view) {});
  REQUIRE(sender);
  const Timer limit(loop, Seconds(5), Duration(0), [&loop] { loop.Stop(); });
  const std::string sent_bytes(20000, 'x');
  sender.value()->Send(receiver.value()->BoundAddress(), sent_bytes);
  loop.Run();
  CHECK(received_bytes == sent_bytes);
  CHECK(from == sender.value()->BoundAddress());
}

// Guards against a failed bind that is reported as success: the socket would
// never receive a datagram.
TEST_CASE("binding a port in use fails") {
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

// Guards against an address that is taken for 0.0.0.0: a socket that is bound
// to it receives from all networks, and what is sent to it reaches this
// machine.
TEST_CASE("an address that is not IPv4 is neither bound nor sent to") {
  EventLoop loop;
  const auto ignore = [](const Address&, std::string_view) {};
  const auto bound = DatagramSocket::Bind(loop, {"localhost", 0}, ignore);
  REQUIRE_FALSE(bound);
  CHECK(bound.error().code == ResultCode::kSettingsInvalid);
  int received = 0;
  auto receiver = DatagramSocket::Bind(
      loop, {"127.0.0.1", 0},
      [&](const Address&, std::string_view) { ++received; });
  REQUIRE(receiver);
  auto sender = DatagramSocket::Bind(loop, {"127.0.0.1", 0}, ignore);
  REQUIRE(sender);
  sender.value()->Send({"", receiver.value()->BoundAddress().port}, "x");
  const Timer end(loop, Milliseconds(100), Duration(0), [&] { loop.Stop(); });
  loop.Run();
  CHECK(received == 0);
}

// Guards against a socket that is read after its callback has destroyed it.
TEST_CASE("a socket can be destroyed in its own callback") {
  EventLoop loop;
  int received = 0;
  std::unique_ptr<DatagramSocket> receiver;
  auto opened = DatagramSocket::Bind(loop, {"127.0.0.1", 0},
                                     [&](const Address&, std::string_view) {
                                       ++received;
                                       receiver.reset();
                                     });
  REQUIRE(opened);
  receiver = std::move(opened).value();
  auto sender = DatagramSocket::Bind(loop, {"127.0.0.1", 0},
                                     [](const Address&, std::string_view) {});
  REQUIRE(sender);
  const Address address = receiver->BoundAddress();
  sender.value()->Send(address, "1");
  sender.value()->Send(address, "2");
  const Timer end(loop, Milliseconds(100), Duration(0), [&] { loop.Stop(); });
  loop.Run();
  CHECK(received == 1);
}

}  // namespace
}  // namespace toucanhollow
