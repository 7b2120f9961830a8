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
  fixture.Place("r1");
  fixture.RunFor(Milliseconds(20));
  REQUIRE(fixture.placements.size() == 1);
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

}  // namespace
}  // namespace toucanhollow
