// Connections to servers that are established long after they were begun.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "standins/platform/relay_site.h"

namespace toucanhollow {
namespace {

// A server whose queue of new connections is full until Accept is called. The
// kernel repeats the opening packet of a connection after a second.
class FullServer {
 public:
  FullServer()
      : listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)),
        filler(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* raw = reinterpret_cast<sockaddr*>(&address);
    socklen_t size = sizeof(address);
    REQUIRE(bind(this->listener, raw, size) == 0);
    REQUIRE(listen(this->listener, 0) == 0);
    REQUIRE(getsockname(this->listener, raw, &size) == 0);
    REQUIRE(connect(this->filler, raw, size) == 0);
    this->port = ntohs(address.sin_port);
  }
  ~FullServer() {
    for (const int socket : {this->listener, this->filler, this->accepted}) {
      close(socket);
    }
  }
  FullServer(const FullServer&) = delete;
  FullServer& operator=(const FullServer&) = delete;

  std::uint16_t Port() const { return this->port; }
  // Accepts the first connection of the queue.
  bool Accept() {
    close(this->accepted);
    this->accepted = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK);
    return this->accepted >= 0;
  }
  // Bytes that came on the connection that was accepted last.
  std::string Received() const {
    std::array<char, 4096> buffer{};
    const ssize_t size = recv(this->accepted, buffer.data(), buffer.size(), 0);
    return size > 0 ? std::string(buffer.data(), size) : std::string();
  }

 private:
  int listener;
  int filler;
  int accepted = -1;
  std::uint16_t port = 0;
};

std::string PatientConfig() {
  std::string config = ConfigText(1, "\"k1\"");
  const std::string timeout = R"("timeout_ms":800)";
  for (std::size_t at = config.find(timeout); at != std::string::npos;
       at = config.find(timeout, at + 1)) {
    config.replace(at, timeout.size(), R"("timeout_ms":8000)");
  }
  return config;
}

std::string Entry(std::uint16_t port, const std::string& state) {
  return R"({"service":"ledger","address":"127.0.0.1:)" + std::to_string(port) +
         R"(","zone":"west","slots":6,"state":")" + state +
         R"(","born":1700000000000})";
}

std::string Unsafe(const std::string& id) {
  std::string request = Request("POST", "/u/x", id, "", "body");
  return request.replace(request.find("1500"), 4, "8000");
}

}  // namespace

// Guards against unsafe work that is lost with a server that was leaving before
// the connection to it stood.
TEST_CASE("a request is not written to a server that drains by then") {
  Site site;
  FullServer full;
  site.store.Put("keyed.op", "config", PatientConfig());
  site.List("i-1", site.first, "ready");
  site.Start();
  REQUIRE(Serves(site));
  site.store.Put("keyed.servers", "i-1", std::nullopt);
  site.store.Put("keyed.servers", "i-2", Entry(full.Port(), "ready"));
  Caller caller(site.loop, site.settings.callers);
  // Requests are answered or refused until only the full server is known.
  int sent = 0;
  while (sent < 100) {
    caller.connection->Write(Unsafe("r" + std::to_string(sent++)));
    if (!site.RunUntil([&] { return caller.parser.done(); },
                       Milliseconds(200))) {
      break;
    }
    caller.parser = ResponseParser(true);
  }
  const std::string id = "r" + std::to_string(sent - 1);
  REQUIRE_FALSE(caller.parser.done());
  const bool removed = GENERATE(false, true);
  site.store.Put(
      "keyed.servers", "i-2",
      removed ? std::nullopt
              : std::optional<std::string>(Entry(full.Port(), "draining")));
  site.List("i-3", site.second, "ready");
  // The entry of this server comes behind the other one's.
  REQUIRE(Serves(site));
  REQUIRE(full.Accept());
  bool reached = false;
  std::string received;
  site.RunUntil(
      [&] {
        reached = reached || full.Accept();
        received += full.Received();
        return caller.parser.done() && reached;
      },
      Milliseconds(2500));
  CHECK(received.empty());
  CHECK(caller.parser.done());
  CHECK(site.second.runs[id] == 1);
}

}  // namespace toucanhollow
