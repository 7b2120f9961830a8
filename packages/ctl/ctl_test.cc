#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "ctl/fetch.h"
#include "ctl/read_timeline.h"
#include "ctl/threaded_server_for_test.h"
#include "event_codec/event_codec.h"

namespace toucanhollow {
namespace {

ThreadedServer ServeText(const std::string& body) {
  return ThreadedServer([body](EventLoop& /*loop*/) {
    return [body](const HttpRequest& /*request*/,
                  const std::shared_ptr<HttpResponseWriter>& writer) {
      writer->Respond(200, {}, body);
    };
  });
}

std::string EventsText(const std::string& process,
                       std::uint64_t incarnation,
                       const std::vector<std::uint64_t>& sequences) {
  std::string text;
  for (const std::uint64_t sequence : sequences) {
    Event event;
    event.process.value = process;
    event.incarnation.value = incarnation;
    event.sequence = sequence;
    event.time.wall_us = static_cast<std::int64_t>(sequence);
    text += EncodeEvent(event) + "\n";
  }
  return text;
}

TEST_CASE("address lists are read and mistakes are named") {
  const auto good = ParseAddressList("127.0.0.1:1,127.0.0.2:2");
  REQUIRE(good.has_value());
  CHECK(good.value().size() == 2);
  CHECK_FALSE(ParseAddressList("").has_value());
  CHECK_FALSE(ParseAddressList("localhost:1").has_value());
}

// Guards against one unreachable process that hides the events of the others.
TEST_CASE("timelines are merged and unreachable processes are named") {
  const ThreadedServer first = ServeText(EventsText("entry-1", 1, {1, 3}));
  const ThreadedServer second = ServeText(EventsText("draft-1", 1, {2}));
  const TimelineRead read = ReadTimelines(
      {first.Where(), second.Where(), Address{"127.0.0.1", 1}}, {});
  REQUIRE(read.events.size() == 3);
  CHECK(read.events[1].process.value == "draft-1");
  // One warning for the gap at entry-1 and one for the closed port.
  CHECK(read.warnings.size() == 2);
}

// Guards against a follower that prints events twice, or that misses the
// events of a restarted process whose count begins again.
TEST_CASE("following continues after the cursor and notices a restart") {
  const ThreadedServer process = ServeText(EventsText("entry-1", 1, {1, 2}) +
                                           EventsText("entry-1", 2, {1}));
  const TimelineRead first = ReadTimelines({process.Where()}, {});
  CHECK(first.events.size() == 3);
  TimelineCursor cursor;
  cursor.incarnation[process.Where()] = Incarnation{2};
  cursor.last_sequence[process.Where()] = 1;
  const ThreadedServer restarted = ServeText(EventsText("entry-1", 2, {1, 2}));
  cursor.incarnation[restarted.Where()] = Incarnation{2};
  cursor.last_sequence[restarted.Where()] = 1;
  CHECK(ReadTimelines({restarted.Where()}, cursor).events.size() == 1);
}

}  // namespace
}  // namespace toucanhollow
