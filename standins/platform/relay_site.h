// The parts of tests that play the platform's protocol on one loop: a caller, a
// site with a store, two servers and a relay.
#ifndef STANDINS_PLATFORM_RELAY_SITE_H_
#define STANDINS_PLATFORM_RELAY_SITE_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <catch2/catch.hpp>

#include "http_stream/message_parser.h"
#include "platform/engine_calls.h"
#include "platform/platform_codec.h"
#include "relay/relay_host.h"
#include "standins/platform/own_loopback.h"
#include "standins/platform/platform_store_stand_in.h"
#include "standins/platform/sealed_server_stand_in.h"

namespace toucanhollow {

// A TCP port that was free a moment ago.
inline std::uint16_t FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* raw = reinterpret_cast<sockaddr*>(&address);
  REQUIRE(bind(fd, raw, size) == 0);
  REQUIRE(getsockname(fd, raw, &size) == 0);
  close(fd);
  return ntohs(address.sin_port);
}

inline std::string ConfigText(int version, const std::string& keys) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[)"
         R"({"name":"unsafe","host":"h","path_prefix":"/u/","kind":"unsafe",)"
         R"("timeout_ms":800,"target_latency_ms":150,"priority":2,)"
         R"("service":"ledger","attempts":1},)"
         R"({"name":"safe","host":"h","path_prefix":"/s/","kind":"safe",)"
         R"("timeout_ms":800,"target_latency_ms":150,"priority":2,)"
         R"("service":"ledger","attempts":2},)"
         R"({"name":"stream","host":"h","path_prefix":"/m/",)"
         R"("kind":"streaming","timeout_ms":3000,"target_latency_ms":400,)"
         R"("priority":1,"service":"ledger","attempts":2,"resumable":true}],)"
         R"("services":[{"name":"ledger","max_conns":96}],)"
         R"("limits":{"max_header_bytes":4096,"max_body_bytes":1000,)"
         R"("header_timeout_ms":300,"idle_timeout_ms":15000},)"
         R"("tenants":[{"name":"acc","api_keys":[)" +
         keys + "]}]}";
}

// A caller's connection that sends bytes and parses one answer after another.
struct Caller {
  EventLoop& loop;
  std::unique_ptr<TcpConnection> connection;
  ResponseParser parser{true};
  bool ended = false;

  Caller(EventLoop& loop, std::uint16_t port)
      : Caller(loop, Address{"127.0.0.1", port}) {}

  Caller(EventLoop& loop, const Address& host)
      : loop(loop), connection(std::make_unique<TcpConnection>(loop, host)) {
    this->connection->SetCallbacks(
        {nullptr, [this](std::string_view bytes) { this->parser.Feed(bytes); },
         nullptr,
         [this](ConnectionEnd end) {
           this->ended = true;
           if (end == ConnectionEnd::kOrderly) {
             this->parser.FeedEndOfStream();
           }
         }});
  }
};

struct Site {
  EventLoop loop;
  PlatformStoreStandIn store{loop};
  SealedServerStandIn first{loop};
  SealedServerStandIn second{loop};
  RelaySettings settings;
  std::unique_ptr<RelayHost> host;

  Site() {
    this->settings.process.value = "front-1";
    this->settings.data_centre.value = "west";
    this->TakePorts();
    this->settings.store = {"127.0.0.1", this->store.Port()};
    // A host that has just started uses no slack of the bound on retries; the
    // cases here are not about the bound.
    this->settings.retry.ratio = 10;
    this->settings.max_descriptors = 1024;
    this->settings.grace = Milliseconds(4000);
  }

  void TakePorts() {
    this->settings.callers = {"127.0.0.1", FreePort()};
    this->settings.readiness = {"127.0.0.1", FreePort()};
    this->settings.control = {"127.0.0.1", FreePort()};
    this->settings.report_port = FreePort();
    this->settings.metrics_port = FreePort();
    this->settings.permit_port = FreePort();
  }

  // For hosts that are started once: FreePort may return a port twice, and the
  // system may give it to a socket of another process before the start.
  void TakeOwnAddresses() {
    this->settings.callers = NextOwnAddress();
    this->settings.readiness = NextOwnAddress();
    this->settings.control = NextOwnAddress();
    this->settings.report_port = NextOwnAddress().port;
    this->settings.metrics_port = NextOwnAddress().port;
    this->settings.permit_port = NextOwnAddress().port;
  }

  // Another process may take a port between FreePort and the start, which then
  // fails with kSettingsInvalid.
  void Start() {
    constexpr int kMaxStarts = 5;
    for (int i = 0; i < kMaxStarts; ++i) {
      this->host = std::make_unique<RelayHost>(
          this->loop, this->settings, PlatformCodec(), platform::EngineCodec());
      const Result<bool> started = this->host->Start();
      if (started) {
        return;
      }
      REQUIRE(started.error().code == ResultCode::kSettingsInvalid);
      WARN(FormatFailure(started.error()));
      this->TakePorts();
    }
    FAIL("no free ports");
  }

  void Configure() {
    this->store.Put("keyed.op", "config", ConfigText(1, "\"k1\""));
    this->List("i-1", this->first, "ready");
  }

  void List(const std::string& id,
            const SealedServerStandIn& server,
            const std::string& state) {
    this->store.Put("keyed.servers", id,
                    R"({"service":"ledger","address":")" + server.ip() + ":" +
                        std::to_string(server.Port()) +
                        R"(","zone":"west","slots":6,"state":")" + state +
                        R"(","born":1700000000000})");
  }

  void RunFor(Duration time) {
    const Timer timer(this->loop, time, Duration(0),
                      [this] { this->loop.Stop(); });
    this->loop.Run();
  }

  // Runs the loop until the condition holds or the time has passed.
  template <typename Condition>
  bool RunUntil(Condition condition, Duration limit = Seconds(5)) {
    const TimePoint end = EventLoop::Now() + limit;
    while (!condition()) {
      if (EventLoop::Now() >= end) {
        return false;
      }
      this->RunFor(Milliseconds(2));
    }
    return true;
  }
};

inline std::string Request(const std::string& method,
                           const std::string& target,
                           const std::string& id,
                           const std::string& more = "",
                           const std::string& body = "") {
  return method + " " + target +
         " HTTP/1.1\r\nHost: h\r\nX-Toucanhollow-Request-Id: " + id +
         "\r\nX-Toucanhollow-Deadline-Ms: 1500\r\nAuthorization: Token k1\r\n" +
         more +
         (body.empty()
              ? ""
              : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         "\r\n" + body;
}

// Sends one request on a new connection and gives the final status, 0 for a
// connection that ended without a whole answer.
struct Answered {
  int status = 0;
  std::string body;
  HttpHeaders headers;
};

inline Answered Ask(Site& site, const std::string& bytes) {
  Caller caller(site.loop, site.settings.callers);
  caller.connection->Write(bytes);
  site.RunUntil([&] { return caller.parser.done() || caller.ended; });
  if (!caller.parser.done()) {
    return {};
  }
  return {caller.parser.head().status, caller.parser.TakeBody(),
          caller.parser.head().headers};
}

inline bool Serves(Site& site) {
  return site.RunUntil([&site] {
    return Ask(site, Request("GET", "/s/x", "warm")).status == 200;
  });
}

}  // namespace toucanhollow

#endif  // STANDINS_PLATFORM_RELAY_SITE_H_
