#include "config_follow/config_task.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <catch2/catch.hpp>

#include "http_client/http_client.h"
#include "log_codec/config_codec.h"
#include "standins/log/log_stand_in.h"

namespace toucanhollow {
namespace {

constexpr const char* kName = "nadi-south";

PublishedRecord MakeDataCentreRecord(bool in_service, LogOffset expected) {
  PublishedRecord record{
      {std::string(kDataCentreKind), kName}, expected, ConfigCopy()};
  record.copy.change_id = "change-" + std::to_string(expected);
  DataCentreContent content;
  content.in_service = in_service;
  record.copy.text = EncodeContent(content);
  return record;
}

struct Fixture {
  EventLoop loop;
  LogStandIn stand_in{loop, {}};
  std::unique_ptr<HttpServer> server;
  HttpClient client{loop};
  std::unique_ptr<PlatformLog> log;
  ProcessContext context{loop, Settings{}};
  std::unique_ptr<ConfigTask> task;

  Fixture() {
    auto listening = HttpServer::Listen(
        this->loop, {}, [this](const HttpRequest& request, const auto& writer) {
          this->stand_in.Handle(request, writer);
        });
    REQUIRE(listening.has_value());
    this->server = std::move(listening).value();
    PlatformLogOptions options;
    options.address = "127.0.0.1:" + std::to_string(this->server->Port());
    this->log = std::make_unique<PlatformLog>(this->client, options);
  }

  void Append(const PublishedRecord& record) {
    this->log->Append("config", {EncodeRecord(record)}, "",
                      [this](const LogAppendOutcome& outcome) {
                        CHECK(outcome.end == AppendEnd::kAppended);
                        this->loop.Stop();
                      });
    this->loop.Run();
  }

  void StartLogOutage() {
    HttpCall call;
    call.method = "POST";
    call.url = "http://127.0.0.1:" + std::to_string(this->server->Port()) +
               "/control/outage?ms=600000&mode=refuse";
    HttpCallbacks callbacks;
    callbacks.on_done = [&](const HttpOutcome&) { this->loop.Stop(); };
    this->client.Start(call, std::move(callbacks));
    this->loop.Run();
  }

  void Start() {
    this->task = std::make_unique<ConfigTask>(
        this->context, *this->log,
        [this](const ConfigView&) { this->loop.Stop(); });
  }

  bool IsDataCentreInService() const {
    const auto& known = this->task->View().data_centres;
    const auto found = known.find(DataCentreName{kName});
    return found != known.end() && found->second.content.in_service;
  }
};

// Guards against a record that is read but does not come into force.
TEST_CASE("records come into force in the order of the log") {
  Fixture fixture;
  fixture.Append(MakeDataCentreRecord(true, 0));
  fixture.Start();
  fixture.loop.Run();
  CHECK(fixture.IsDataCentreInService());
  fixture.log->Append("config", {EncodeRecord(MakeDataCentreRecord(false, 1))},
                      "", [](const LogAppendOutcome&) {});
  fixture.loop.Run();
  CHECK_FALSE(fixture.IsDataCentreInService());
  CHECK(fixture.task->Offset() == 2);
}

// Guards against a new process that cannot serve during an outage of the log
// although its peers have the configuration.
TEST_CASE("a new process gets the configuration from a peer") {
  Fixture peer;
  peer.Append(MakeDataCentreRecord(true, 0));
  peer.Start();
  peer.loop.Run();

  Fixture fresh;
  fresh.StartLogOutage();
  fresh.Start();
  CHECK_FALSE(fresh.task->View().ready);
  Heartbeat heartbeat;
  heartbeat.config_offset = peer.task->Offset();
  int requests = 0;
  fresh.task->OnPeerMessage(heartbeat, [&](const Message& request) {
    ++requests;
    peer.task->OnPeerMessage(request, [&](const Message& snapshot) {
      fresh.task->OnPeerMessage(snapshot, [](const Message&) {});
    });
  });
  CHECK(requests == 1);
  CHECK(fresh.task->View().ready);
  CHECK(fresh.IsDataCentreInService());
  CHECK(fresh.task->Offset() == 1);
}

}  // namespace
}  // namespace toucanhollow
