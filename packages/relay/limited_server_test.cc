#include <string>

#include <catch2/catch.hpp>

#include "relay/dispatcher_fixture.h"

namespace toucanhollow {
namespace {

LimitField NamedField(double per_s) {
  return {LimitFieldKind::kNamed, per_s};
}

// Guards against a host that believes an earlier answer or a malformed one, and
// against one that goes on believing that a server that was started anew is
// limited.
TEST_CASE("a host believes the latest answer on a server's limit") {
  DispatcherFixture fixture;
  Dispatcher& dispatcher = *fixture.dispatcher;
  fixture.Place("r1", Seconds(1));
  fixture.RunUntilPlaced(1);
  ServerConnectionPool& pool = *fixture.placements[0].pool;
  const TimePoint now = EventLoop::Now();
  const LimitField absent;
  CHECK(dispatcher.RecordLimit(pool, absent, now, now));
  CHECK_FALSE(pool.limit);
  CHECK(dispatcher.RecordLimit(pool, NamedField(2.3), now, now + Seconds(2)));
  CHECK(dispatcher.CountLimitedServers() == 1);
  CHECK(
      dispatcher.RecordLimit(pool, absent, now + Seconds(1), now + Seconds(3)));
  CHECK(IsNamed(pool.limit));
  CHECK_FALSE(dispatcher.RecordLimit(pool, {LimitFieldKind::kMalformed, 0},
                                     now + Seconds(3), now + Seconds(4)));
  CHECK(IsNamed(pool.limit));
  CHECK(
      dispatcher.RecordLimit(pool, absent, now + Seconds(3), now + Seconds(4)));
  CHECK_FALSE(IsNamed(pool.limit));
  CHECK(dispatcher.RecordLimit(pool, NamedField(2.3), now, now + Seconds(5)));
  CHECK(dispatcher.CountLimitedServers() == 1);
  fixture.view.servers.at(pool.server().id).listed.start_time_ms = 1;
  dispatcher.UpdateView(fixture.view);
  CHECK(dispatcher.CountLimitedServers() == 0);
}

// The servers of a service without a cold phase.
struct WarmFixture : DispatcherFixture {
  explicit WarmFixture(bool has_engine) {
    this->expects_permits = false;
    auto traffic = std::make_shared<TrafficConfig>(*this->view.traffic);
    Service& service = traffic->services.at({"drafting"});
    service.cold_requests_per_s = 0;
    if (!has_engine) {
      service.engine.reset();
    }
    this->view.traffic = traffic;
    for (auto& [id, server] : this->view.servers) {
      server.listed.start_time_ms = 1'700'000'000'000;
    }
    this->dispatcher->UpdateView(this->view);
  }

  // Places a request at the server; no other one is left.
  Placement PlaceAt(const std::string& id) {
    std::erase_if(this->view.servers,
                  [&id](const auto& entry) { return entry.first != id; });
    this->dispatcher->UpdateView(this->view);
    this->Place("at " + id);
    REQUIRE(this->placements.size() == 1);
    return this->placements[0];
  }
};

// Guards against a server that gets more than it takes because its service has
// no cold phase, so that nobody asked for permits.
TEST_CASE("a request to a server that names a limit needs a permit") {
  WarmFixture fixture(true);
  const Placement placement = fixture.PlaceAt("i-2");
  FakeAgent& agent = *fixture.agents[0];
  CHECK(agent.asked == 0);
  CHECK(fixture.dispatcher->CheckWrite(placement, EventLoop::Now()).empty());
  const TimePoint now = EventLoop::Now();
  fixture.dispatcher->RecordLimit(*placement.pool, NamedField(2.3), now, now);
  // It was placed without a permit and is not written yet.
  CHECK_FALSE(
      fixture.dispatcher->CheckWrite(placement, EventLoop::Now()).empty());
  fixture.expects_permits = true;
  fixture.Place("r2", Seconds(1));
  fixture.RunUntilPlaced(2);
  CHECK(fixture.dispatcher->CheckWrite(fixture.placements[1], EventLoop::Now())
            .empty());
  const int asked = agent.asked;
  CHECK(asked >= 1);
  CHECK(agent.last_request.rate == PermitRate{});
  CHECK(agent.last_request.start_time_ms == 1'700'000'000'000);
  REQUIRE(agent.last_request.limit);
  CHECK(agent.last_request.limit->per_s == 2.3);
  CHECK(agent.last_request.limit->age < Seconds(1));
  // The server withdraws it.
  fixture.expects_permits = false;
  const TimePoint written_at = EventLoop::Now();
  fixture.dispatcher->RecordLimit(*placement.pool, {}, written_at,
                                  EventLoop::Now());
  fixture.Place("r3");
  CHECK(fixture.placements.size() == 3);
  CHECK(agent.asked == asked);
}

// Guards against a plain server whose limit no process keeps.
TEST_CASE("the issuer gives the permits of a limited server without an agent") {
  WarmFixture fixture(false);
  fixture.settings.control.ip = "127.0.0.3";
  const Placement placement = fixture.PlaceAt("i-2");
  const TimePoint now = EventLoop::Now();
  fixture.dispatcher->RecordLimit(*placement.pool, NamedField(2.3), now, now);
  fixture.expects_permits = true;
  fixture.Place("r2", Seconds(1));
  fixture.RunUntilPlaced(2);
  CHECK(fixture.agents[0]->asked == 0);
  CHECK(fixture.agents[1]->asked >= 1);
}

// Guards against hosts that keep to a limit only by what they were told
// themselves, and against news that hosts tell each other in turns for ever.
TEST_CASE("hosts tell each other what servers named to them") {
  WarmFixture told(true);
  WarmFixture other(true);
  const Placement placement = told.PlaceAt("i-2");
  const TimePoint now = EventLoop::Now();
  CHECK(told.dispatcher->MakeLoadReport(now).limits.empty());
  told.dispatcher->RecordLimit(*placement.pool, NamedField(2.3), now, now);
  CHECK(told.dispatcher->own_limit_changes() == 1);
  told.dispatcher->RecordLimit(*placement.pool, NamedField(2.3), now,
                               now + Milliseconds(1));
  CHECK(told.dispatcher->own_limit_changes() == 1);
  std::uint64_t sequence = 0;
  const auto report_at = [&told, &sequence](TimePoint time) {
    HostLoadReport report = told.dispatcher->MakeLoadReport(time);
    report.sequence = ++sequence;
    return report;
  };
  const HostLoadReport named = report_at(now + Seconds(3));
  REQUIRE(named.limits.size() == 1);
  CHECK(named.limits[0].limit.age == Milliseconds(2999));
  other.dispatcher->UpdatePeerLoad("127.0.0.9", named);
  CHECK(other.dispatcher->CountLimitedServers() == 1);
  CHECK(other.dispatcher->own_limit_changes() == 0);
  CHECK(other.dispatcher->MakeLoadReport(EventLoop::Now()).limits.empty());
  // One of an earlier process of the server.
  HostLoadReport earlier = named;
  earlier.limits[0].start_time_ms -= 1;
  WarmFixture third(true);
  third.dispatcher->UpdatePeerLoad("127.0.0.9", earlier);
  CHECK(third.dispatcher->CountLimitedServers() == 0);
  // The end of the limit is told as well, for some seconds.
  told.dispatcher->RecordLimit(*placement.pool, {}, now + Seconds(4),
                               now + Seconds(5));
  CHECK(told.dispatcher->own_limit_changes() == 2);
  const HostLoadReport withdrawn = report_at(now + Seconds(5));
  REQUIRE(withdrawn.limits.size() == 1);
  other.dispatcher->UpdatePeerLoad("127.0.0.9", withdrawn);
  CHECK(other.dispatcher->CountLimitedServers() == 0);
  CHECK(report_at(now + Seconds(60)).limits.empty());
}

// Guards against requests that wait for a limited server while another one is
// free, and against a wait that outlasts the limit.
TEST_CASE("other servers take what a limited one does not") {
  DispatcherFixture fixture;
  fixture.Place("r0", Seconds(1));
  fixture.RunUntilPlaced(1);
  ServerConnectionPool& limited = *fixture.placements[0].pool;
  const bool is_first = limited.server().id == "i-2";
  FakeAgent& agent = *fixture.agents[is_first ? 0 : 1];
  agent.mode = FakeAgent::Mode::kDeny;
  const TimePoint now = EventLoop::Now();
  fixture.dispatcher->RecordLimit(limited, NamedField(0.1), now, now);
  for (int i = 1; i <= 8; ++i) {
    fixture.Place("r" + std::to_string(i), Seconds(1));
    fixture.RunFor(Milliseconds(10));
  }
  fixture.RunUntilPlaced(9);
  CHECK(fixture.refused.empty());
  for (std::size_t i = 1; i < fixture.placements.size(); ++i) {
    CHECK(fixture.placements[i].pool.get() != &limited);
  }
  limited.permits.ask_from = EventLoop::Now() + Seconds(5);
  const TimePoint written_at = EventLoop::Now();
  fixture.dispatcher->RecordLimit(limited, {}, written_at, EventLoop::Now());
  CHECK(limited.permits.ask_from <= EventLoop::Now());
}

}  // namespace
}  // namespace toucanhollow
