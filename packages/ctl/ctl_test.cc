#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "ctl/command.h"
#include "ctl/fetch.h"
#include "ctl/read_timeline.h"
#include "ctl/threaded_server_for_test.h"
#include "event_codec/event_codec.h"
#include "settings/parse_address.h"

namespace toucanhollow {
namespace {

ThreadedServer MakeTextServer(const std::string& body) {
  return ThreadedServer([body](EventLoop& /*loop*/) {
    return [body](const HttpRequest& /*request*/,
                  const std::shared_ptr<HttpResponseWriter>& writer) {
      writer->Respond(200, {}, body);
    };
  });
}

std::string EncodeEventLines(const std::string& process,
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

TEST_CASE("address lists are parsed and invalid ones are refused") {
  const auto good = ParseAddressList("127.0.0.1:1,127.0.0.2:2");
  REQUIRE(good.has_value());
  CHECK(good.value().size() == 2);
  CHECK_FALSE(ParseAddressList("").has_value());
  CHECK_FALSE(ParseAddressList("localhost:1").has_value());
}

// Guards against one unreachable process hiding the events of the others.
TEST_CASE("timelines are merged and unreachable processes add a warning") {
  const ThreadedServer first =
      MakeTextServer(EncodeEventLines("entry-1", 1, {1, 3}));
  const ThreadedServer second =
      MakeTextServer(EncodeEventLines("draft-1", 1, {2}));
  const TimelineReadResult result = ReadTimelines(
      {first.ListenAddress(), second.ListenAddress(), Address{"127.0.0.1", 1}},
      {});
  REQUIRE(result.events.size() == 3);
  CHECK(result.events[1].process.value == "draft-1");
  // One warning for the gap at entry-1 and one for the closed port.
  CHECK(result.warnings.size() == 2);
}

// Guards against a follower that prints events twice, or that misses the
// events of a restarted process, whose sequence numbers start again at 1.
TEST_CASE("reading continues after the cursor and detects a restart") {
  const ThreadedServer process =
      MakeTextServer(EncodeEventLines("entry-1", 1, {1, 2}) +
                     EncodeEventLines("entry-1", 2, {1}));
  const TimelineReadResult first = ReadTimelines({process.ListenAddress()}, {});
  CHECK(first.events.size() == 3);
  TimelineCursor cursor;
  cursor.incarnation[process.ListenAddress()] = Incarnation{2};
  cursor.last_sequence[process.ListenAddress()] = 1;
  const ThreadedServer restarted =
      MakeTextServer(EncodeEventLines("entry-1", 2, {1, 2}));
  cursor.incarnation[restarted.ListenAddress()] = Incarnation{2};
  cursor.last_sequence[restarted.ListenAddress()] = 1;
  CHECK(ReadTimelines({restarted.ListenAddress()}, cursor).events.size() == 1);
}

// Guards against a script that goes on while a process takes no requests.
TEST_CASE("the status is negative if a process is not ready") {
  for (const int status : {200, 503}) {
    const ThreadedServer process([status](EventLoop& /*loop*/) {
      return [status](const HttpRequest& request,
                      const std::shared_ptr<HttpResponseWriter>& writer) {
        writer->Respond(request.path == "/ready" ? status : 200, {}, "");
      };
    });
    CommandOptions options;
    options.processes = FormatAddress(process.ListenAddress());
    std::ostringstream out;
    std::ostringstream errors;
    const bool ready = status == 200;
    CHECK(RunCommand({"status"}, options, out, errors) ==
          (ready ? kExitSuccess : kExitNegative));
    CHECK(out.str().find(ready ? " ready" : " not_ready") != std::string::npos);
  }
}

}  // namespace
}  // namespace toucanhollow
