// Several relays on one loop, each with its own link to the store: what they
// believe after they lost contact with the store, and whom they believe.
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "http_server/http_server.h"
#include "standins/fault_proxy/fault_proxy.h"
#include "standins/platform/relay_fleet.h"

namespace toucanhollow {
namespace {

constexpr Duration kHeartbeat = Milliseconds(1200);

// A fleet with the servers i-1 and i-2, which write to the store as the
// platform's servers do.
struct ContactFleet : RelayFleet {
  std::vector<std::unique_ptr<FaultProxy>> store_links;
  bool first_listed = true;
  bool second_listed = true;
  std::unique_ptr<Timer> heartbeat;
  int next_request = 1;

  explicit ContactFleet(int count) : RelayFleet(count) {
    for (RelaySettings& host : this->host_settings) {
      this->store_links.push_back(std::make_unique<FaultProxy>(
          this->loop, Address{"127.0.0.1", this->store.Port()}));
      host.store = {"127.0.0.1", this->store_links.back()->Port()};
    }
    this->store.Put("keyed.op", "config", ConfigText(1, "\"k1\""));
    this->heartbeat = std::make_unique<Timer>(
        this->loop, Duration(0), kHeartbeat, [this] { this->Beat(); });
  }

  void Beat() {
    if (this->first_listed) {
      this->List("i-1", this->first, "ready");
    }
    if (this->second_listed) {
      this->List("i-2", this->second, "ready");
    }
  }

  // The second server leaves without notice.
  void RemoveSecond() {
    this->second_listed = false;
    this->store.Put("keyed.servers", "i-2", std::nullopt);
  }

  void RunUntilTime(TimePoint time) {
    const TimePoint now = EventLoop::Now();
    if (time > now) {
      this->RunFor(time - now);
    }
  }

  // How many of some requests through this host the second server gets.
  std::size_t CountAtSecond(int host) {
    constexpr int kRequests = 20;
    const std::size_t before = this->second.arrivals.size();
    for (int i = 0; i < kRequests; ++i) {
      Caller caller(this->loop, this->host_settings[host].callers);
      caller.connection->Write(
          Request("GET", "/s/x", "r" + std::to_string(this->next_request++)));
      REQUIRE(this->RunUntil([&caller] { return caller.parser.done(); }));
      CHECK(caller.parser.head().status == 200);
    }
    return this->second.arrivals.size() - before;
  }

  void WaitUntilUsed(int host) {
    REQUIRE(this->RunUntil([&] { return this->IsReady(host); }));
    REQUIRE(this->RunUntil([&] { return this->CountAtSecond(host) > 0; }));
  }
};

// Answers what other hosts fetch from the host of this number.
struct PeerStandIn {
  int fetches = 0;
  std::unique_ptr<HttpServer> server;

  PeerStandIn(ContactFleet& fleet,
              int number,
              const std::string& reply,
              unsigned int max_connections) {
    HttpServerOptions options;
    options.address = fleet.host_settings[number].control.ip;
    options.port = fleet.host_settings[number].control.port;
    options.max_connections = max_connections;
    auto listening = HttpServer::Listen(
        fleet.loop, options,
        [this, reply](const HttpRequest&,
                      const std::shared_ptr<HttpResponseWriter>& writer) {
          ++this->fetches;
          writer->Respond(200, {}, reply);
        });
    REQUIRE(listening);
    this->server = std::move(listening.value());
  }
};

// Guards against a host that skips a server's removal with the records of a
// peer that has started after it.
TEST_CASE("a restarted peer does not hide a removal from a host that is cut") {
  ContactFleet fleet(2);
  fleet.StartHost(0);
  fleet.StartHost(1);
  fleet.WaitUntilUsed(0);
  fleet.store_links[0]->SetMode(ProxyMode::kReset);
  fleet.RunFor(Milliseconds(500));
  fleet.hosts[1].reset();
  fleet.RemoveSecond();
  const TimePoint removed_at = EventLoop::Now();
  fleet.StartHost(1);
  REQUIRE(fleet.RunUntil([&] { return fleet.IsReady(1); }));
  // The host fetches from its peer several times.
  fleet.RunFor(Milliseconds(1500));
  fleet.store_links[0]->SetMode(ProxyMode::kPass);
  const TimePoint in_touch_at = EventLoop::Now() + fleet.settings.contact_bound;
  fleet.RunUntilTime(
      std::max(removed_at + fleet.settings.drain_bound, in_touch_at));
  CHECK(fleet.CountAtSecond(0) == 0);
  CHECK(fleet.CountAtSecond(1) == 0);
}

// Guards against a host that skips a server's removal with the records of a
// peer of an earlier version, which does not tell what they cover.
TEST_CASE("a peer of an earlier version does not hide a removal") {
  using nlohmann::json;
  ContactFleet fleet(2);
  // Has read everything, but lists no removals.
  const json topic{{"end", 1000}, {"records", json::array()}};
  const std::vector<std::uint8_t> reply =
      json::to_cbor({{"operator", topic},
                     {"servers", topic},
                     {"age_us", 0},
                     {"hosts", json::array()}});
  fleet.StartHost(0);
  fleet.WaitUntilUsed(0);
  PeerStandIn peer(fleet, 1, std::string(reply.begin(), reply.end()), 64);
  fleet.store_links[0]->SetMode(ProxyMode::kReset);
  fleet.RunFor(Milliseconds(1500));
  fleet.RemoveSecond();
  fleet.store_links[0]->SetMode(ProxyMode::kPass);
  fleet.RunFor(fleet.settings.contact_bound);
  CHECK(fleet.CountAtSecond(0) == 0);
}

// Guards against a host that notices too late that its connections to the store
// fell silent, and then takes a genuine removal for one of an outage.
TEST_CASE("removals are in force in time after connections fell silent") {
  // The server leaves while the host is blind, or just after the bounds apply
  // to it again.
  const Duration leaves_after = GENERATE(Milliseconds(300), Milliseconds(3200));
  ContactFleet fleet(2);
  fleet.StartHost(0);
  fleet.StartHost(1);
  fleet.WaitUntilUsed(0);
  fleet.WaitUntilUsed(1);
  const TimePoint silent_at = EventLoop::Now();
  for (const auto& link : fleet.store_links) {
    link->SilenceOpenConnections();
  }
  fleet.RunFor(leaves_after);
  fleet.RemoveSecond();
  const TimePoint removed_at = EventLoop::Now();
  fleet.RunUntilTime(std::max(removed_at + fleet.settings.drain_bound,
                              silent_at + fleet.settings.contact_bound));
  CHECK(fleet.CountAtSecond(0) == 0);
  CHECK(fleet.CountAtSecond(1) == 0);
}

// Guards against a configuration that is applied late after connections fell
// silent.
TEST_CASE("a configuration is in force in time after connections fell silent") {
  constexpr Duration kApplyBound = Seconds(2);
  ContactFleet fleet(1);
  fleet.StartHost(0);
  fleet.WaitUntilUsed(0);
  // The host notices a silence latest if it begins just after an answer.
  fleet.store.Put("keyed.op", "config", ConfigText(2, "\"k1\""));
  fleet.RunFor(Milliseconds(20));
  const TimePoint silent_at = EventLoop::Now();
  fleet.store_links[0]->SilenceOpenConnections();
  fleet.RunFor(Milliseconds(300));
  fleet.store.Put("keyed.op", "config", ConfigText(3, "\"k2\""));
  fleet.RunUntilTime(std::max(EventLoop::Now() + kApplyBound,
                              silent_at + fleet.settings.contact_bound));
  Caller caller(fleet.loop, fleet.host_settings[0].callers);
  caller.connection->Write(Request("GET", "/s/x", "late"));
  REQUIRE(fleet.RunUntil([&caller] { return caller.parser.done(); }));
  CHECK(caller.parser.head().status == 401);
}

// Guards against a host that, after one connection fell silent, goes on with
// another one that fell silent as well.
TEST_CASE("a host has no second connection to the store that may be silent") {
  constexpr Duration kApplyBound = Seconds(2);
  ContactFleet fleet(1);
  fleet.StartHost(0);
  fleet.WaitUntilUsed(0);
  // Each refused read is repeated on a new connection.
  fleet.store.SetDown(true);
  fleet.RunFor(Seconds(3));
  fleet.store.SetDown(false);
  fleet.RunFor(Seconds(1));
  const TimePoint silent_at = EventLoop::Now();
  fleet.store_links[0]->SilenceOpenConnections();
  const TimePoint in_touch_at = silent_at + fleet.settings.contact_bound;
  const auto uses_key = [&fleet](const std::string& key) {
    Caller caller(fleet.loop, fleet.host_settings[0].callers);
    caller.connection->Write(
        "GET /s/x HTTP/1.1\r\nHost: h\r\n"
        "X-Toucanhollow-Request-Id: r\r\n"
        "Authorization: Token " +
        key + "\r\n\r\n");
    return fleet.RunUntil([&caller] { return caller.parser.done(); }) &&
           caller.parser.head().status == 200;
  };
  fleet.store.Put("keyed.op", "config", ConfigText(2, "\"k2\""));
  REQUIRE(fleet.RunUntil([&] { return uses_key("k2"); }));
  // The first read after the silence has been answered; the next one follows.
  fleet.store.Put("keyed.op", "config", ConfigText(3, "\"k3\""));
  fleet.RunUntilTime(std::max(EventLoop::Now() + kApplyBound, in_touch_at));
  CHECK(uses_key("k3"));
  CHECK_FALSE(uses_key("k2"));
}

// Guards against using a removed server for longer than the bounds allow after
// the store did not answer a host for a while.
TEST_CASE("a removal during an outage is in force when the bounds apply") {
  ContactFleet fleet(1);
  fleet.StartHost(0);
  fleet.WaitUntilUsed(0);
  // New connections are accepted and get no answer.
  fleet.store_links[0]->SetMode(ProxyMode::kSilent);
  fleet.RunFor(Milliseconds(3600));
  fleet.RemoveSecond();
  fleet.RunFor(Milliseconds(400));
  fleet.store_links[0]->SetMode(ProxyMode::kPass);
  const TimePoint back_at = EventLoop::Now();
  // Until then the entry might be listed again.
  fleet.RunUntilTime(back_at + Milliseconds(1200));
  CHECK(fleet.CountAtSecond(0) > 0);
  fleet.RunUntilTime(back_at + fleet.settings.contact_bound);
  CHECK(fleet.CountAtSecond(0) == 0);
}

// Guards against a timer that fires a little early and so skips each second
// fetch.
TEST_CASE("a host that cannot read the store asks its peers each 350 ms") {
  ContactFleet fleet(2);
  PeerStandIn peer(fleet, 1, "", 64);
  fleet.store_links[0]->SetMode(ProxyMode::kReset);
  fleet.StartHost(0);
  fleet.RunFor(Milliseconds(3500));
  CHECK(peer.fetches >= 9);
}

// Guards against fetches that leave their connections open until the peer
// accepts no more, so that a host which stays cut off learns nothing.
TEST_CASE("fetches from a peer do not use up its connections") {
  constexpr unsigned int kMaxConnections = 3;
  ContactFleet fleet(2);
  PeerStandIn peer(fleet, 1, "", kMaxConnections);
  fleet.store_links[0]->SetMode(ProxyMode::kReset);
  fleet.StartHost(0);
  CHECK(fleet.RunUntil(
      [&peer] { return peer.fetches > 3 * int{kMaxConnections}; }));
}

// Guards against a coordinator that loses its membership, which lasts 1.5 s
// from the last join, because its connection to the store fell silent.
TEST_CASE("a silent connection does not cost the coordinator its place") {
  constexpr Duration kMembershipTimeToLive = Milliseconds(1500);
  ContactFleet fleet(1);
  fleet.StartHost(0);
  fleet.WaitUntilUsed(0);
  for (int i = 0; i < 3; ++i) {
    fleet.RunFor(Milliseconds(170 * i));
    const std::size_t before = fleet.store.joins.size();
    REQUIRE(before > 0);
    const TimePoint last = fleet.store.joins.back();
    fleet.store_links[0]->SilenceOpenConnections();
    REQUIRE(fleet.RunUntil([&] { return fleet.store.joins.size() > before; }));
    CHECK(fleet.store.joins.back() - last < kMembershipTimeToLive);
  }
}

// Guards against hosts that start together and take each other's empty record
// of crashes for all that was known before.
TEST_CASE("a peer that has just started does not vouch for quarantines") {
  ContactFleet fleet(2);
  fleet.store.unreadable_topic = "keyed.status";
  fleet.StartHost(0);
  fleet.StartHost(1);
  fleet.RunFor(Milliseconds(600));
  CHECK_FALSE(fleet.IsReady(0));
  CHECK_FALSE(fleet.IsReady(1));
  // They go on without it after a second.
  fleet.RunFor(Milliseconds(600));
  CHECK(fleet.IsReady(0));
  CHECK(fleet.IsReady(1));
  // Once one of them has read the store, the other one learns from it.
  fleet.store.unreadable_topic.clear();
  fleet.RunFor(Seconds(2));
  fleet.store.unreadable_topic = "keyed.status";
  fleet.StartHost(1);
  CHECK(
      fleet.RunUntil([&fleet] { return fleet.IsReady(1); }, Milliseconds(600)));
}

}  // namespace
}  // namespace toucanhollow
