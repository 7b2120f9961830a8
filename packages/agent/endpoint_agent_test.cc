#include "agent/endpoint_agent.h"

#include <string>
#include <utility>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

// Settings of an agent of a plain service. Nothing listens at the addresses of
// the service and the log.
Settings MakeAgentSettings() {
  Settings settings;
  settings.process.value = "entries-1";
  settings.role = Role::kEndpoint;
  settings.data_centre.value = "nadi-south";
  settings.http = {"127.0.0.1", 0};
  settings.link = {"127.0.0.1", 0};
  settings.platform_log = {"127.0.0.1", 1};
  BackEndSettings back_end;
  back_end.endpoint.value = "entries-1";
  back_end.kind = BackEndKind::kService;
  back_end.service.value = "entries";
  back_end.address = {"127.0.0.1", 1};
  settings.back_end = back_end;
  return settings;
}

// Guards against an agent that keeps running without its sockets.
TEST_CASE(
    "starting with an address that cannot be bound reports invalid settings") {
  EventLoop loop;
  Settings settings = MakeAgentSettings();
  settings.link = {"192.0.2.1", 1};  // not an address of this host
  ProcessContext context(loop, std::move(settings));
  EndpointAgent agent(context);
  const Result<bool> started = agent.Start();
  REQUIRE_FALSE(started.has_value());
  CHECK(started.error().code == ResultCode::kSettingsInvalid);
}

// Guards against a shutdown that never ends although no work is running, even
// while the log and the service are unreachable.
TEST_CASE(
    "an idle agent shuts down without waiting and records that it leaves") {
  EventLoop loop;
  ProcessContext context(loop, MakeAgentSettings());
  EndpointAgent agent(context);
  REQUIRE(agent.Start().has_value());
  bool drained = false;
  agent.Shutdown([&] {
    drained = true;
    loop.Stop();
  });
  loop.Run();
  CHECK(drained);
  bool leaving = false;
  for (const Event& event : context.timeline.EventsAfter(0)) {
    leaving = leaving || event.kind == EventKind::kLeaving;
  }
  CHECK(leaving);
}

}  // namespace
}  // namespace toucanhollow
