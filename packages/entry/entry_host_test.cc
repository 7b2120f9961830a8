#include "entry/entry_host.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "agent/endpoint_agent.h"
#include "config/config_content.h"
#include "config/config_record.h"
#include "http_client/http_client.h"
#include "log_codec/config_codec.h"
#include "settings/parse_address.h"
#include "standins/log/log_stand_in.h"
#include "standins/service/service_stand_in.h"

namespace toucanhollow {
namespace {

constexpr const char* kAccount = "band-secretaries";
constexpr int kMaxTries = 100;

// Returns a loopback address whose port was free when probed.
Address FindFreeAddress() {
  const int probe = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  auto* raw_address = reinterpret_cast<sockaddr*>(&address);
  REQUIRE(bind(probe, raw_address, size) == 0);
  REQUIRE(getsockname(probe, raw_address, &size) == 0);
  close(probe);
  return {"127.0.0.1", ntohs(address.sin_port)};
}

// An entry host, an agent, a plain service and the log on one event loop.
struct Deployment {
  EventLoop loop;
  HttpClient client{loop};
  LogStandIn log_stand_in{loop, {}};
  ServiceStandIn service_stand_in{loop};
  std::unique_ptr<HttpServer> log_server;
  std::unique_ptr<HttpServer> service_server;
  Address log;
  Address service;
  std::unique_ptr<ProcessContext> agent_context;
  std::unique_ptr<ProcessContext> entry_context;
  std::unique_ptr<EndpointAgent> agent;
  std::unique_ptr<EntryHost> entry;

  Deployment() {
    auto log_listening = HttpServer::Listen(
        this->loop, {}, [this](const HttpRequest& request, const auto& writer) {
          this->log_stand_in.Handle(request, writer);
        });
    auto service_listening = HttpServer::Listen(
        this->loop, {}, [this](const HttpRequest& request, const auto& writer) {
          this->service_stand_in.Handle(request, writer);
        });
    REQUIRE(log_listening.has_value());
    REQUIRE(service_listening.has_value());
    this->log_server = std::move(log_listening).value();
    this->service_server = std::move(service_listening).value();
    this->log = {"127.0.0.1", this->log_server->Port()};
    this->service = {"127.0.0.1", this->service_server->Port()};
  }

  Settings MakeSettings(const std::string& name, Role role) const {
    Settings settings;
    settings.process.value = name;
    settings.role = role;
    settings.data_centre.value = "nadi-south";
    settings.http = FindFreeAddress();
    settings.link = FindFreeAddress();
    settings.platform_log = this->log;
    return settings;
  }

  void StartEntry() {
    this->entry_context = std::make_unique<ProcessContext>(
        this->loop, this->MakeSettings("entry-1", Role::kEntryHost));
    this->entry = std::make_unique<EntryHost>(*this->entry_context);
    REQUIRE(this->entry->Start().has_value());
  }

  void StartAgent() {
    Settings settings = this->MakeSettings("entries-1", Role::kEndpoint);
    BackEndSettings back_end;
    back_end.endpoint.value = "entries-1";
    back_end.kind = BackEndKind::kService;
    back_end.service.value = "entries";
    back_end.address = this->service;
    settings.back_end = back_end;
    this->agent_context =
        std::make_unique<ProcessContext>(this->loop, std::move(settings));
    this->agent = std::make_unique<EndpointAgent>(*this->agent_context);
    REQUIRE(this->agent->Start().has_value());
  }

  HttpOutcome Call(const HttpCall& call) {
    HttpOutcome result;
    HttpCallbacks callbacks;
    callbacks.on_done = [&](HttpOutcome outcome) {
      result = std::move(outcome);
      this->loop.Stop();
    };
    this->client.Start(call, std::move(callbacks));
    this->loop.Run();
    return result;
  }

  void Publish(ConfigSubject subject,
               const ConfigContent& content,
               LogOffset expected) {
    PublishedRecord record{std::move(subject), expected, {}};
    record.copy.change_id =
        record.subject.name + "-" + std::to_string(expected);
    record.copy.text = EncodeContent(content);
    PlatformLogOptions options;
    options.address = FormatAddress(this->log);
    PlatformLog writer(this->client, options);
    std::optional<LogAppendOutcome> outcome;
    writer.Append("config", {EncodeRecord(record)}, "",
                  [&](const LogAppendOutcome& end) {
                    outcome = end;
                    this->loop.Stop();
                  });
    this->loop.Run();
    REQUIRE(outcome->end == AppendEnd::kAppended);
  }

  void PublishDataCentre(bool in_service, LogOffset expected) {
    DataCentreContent content;
    content.in_service = in_service;
    this->Publish({std::string(kDataCentreKind), "nadi-south"}, content,
                  expected);
  }

  void PublishAll() {
    this->PublishDataCentre(true, 0);
    PlainServiceContent plain;
    plain.accounts[{kAccount}] = 1;
    this->Publish({std::string(kPlainServiceKind), "entries"}, plain, 0);
    EndpointContent endpoint;
    endpoint.service.value = "entries";
    endpoint.data_centre.value = "nadi-south";
    endpoint.addresses = {this->agent_context->settings.link};
    this->Publish({std::string(kEndpointKind), "entries-1"}, endpoint, 0);
  }

  HttpOutcome PostFee(const std::string& token) {
    const auto now_ms = EventLoop::WallNow().time_since_epoch().count() / 1000;
    return this->PostFeeWithKey(std::to_string(now_ms) + "-" + token);
  }

  HttpOutcome PostFeeWithKey(const std::string& key) {
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + FormatAddress(this->entry_context->settings.http) +
               "/services/entries/fees";
    call.headers = {{"X-Client-Account", kAccount}, {"Idempotency-Key", key}};
    call.body = "fee";
    return this->Call(call);
  }

  // Returns whether a call succeeds within `tries`. The first calls fail until
  // the links are up and the agent is ready.
  bool ServesWithinTries(int tries) {
    for (int i = 0; i < tries; ++i) {
      if (this->PostFee("start-" + std::to_string(i)).status == 200) {
        return true;
      }
      const Timer pause(this->loop, Milliseconds(50), Duration(0),
                        [this] { this->loop.Stop(); });
      this->loop.Run();
    }
    return false;
  }

  std::string ListRuns() {
    HttpCall call;
    call.url = "http://" + FormatAddress(this->service) + "/control/runs";
    return this->Call(call).body;
  }
};

// Guards against a second execution of a call that the caller repeats with the
// same idempotency key.
TEST_CASE("a repeated key gets the first answer and runs once") {
  Deployment deployment;
  deployment.StartAgent();
  deployment.StartEntry();
  deployment.PublishAll();
  REQUIRE(deployment.ServesWithinTries(kMaxTries));
  const std::string before = deployment.ListRuns();
  const auto now_ms = EventLoop::WallNow().time_since_epoch().count() / 1000;
  const std::string key = std::to_string(now_ms) + "-fee";
  const HttpOutcome first = deployment.PostFeeWithKey(key);
  const HttpOutcome second = deployment.PostFeeWithKey(key);
  CHECK(first.status == 200);
  CHECK(second.status == 200);
  CHECK(first.body == second.body);
  const std::string added = deployment.ListRuns().substr(before.size());
  CHECK(std::count(added.begin(), added.end(), '\n') == 1);
}

// Guards against dispatches to a data centre that is out of service, and
// against a call that runs although its refusal says "not_run".
TEST_CASE(
    "a data centre out of service gets no calls and refusals say not_run") {
  Deployment deployment;
  deployment.StartAgent();
  deployment.StartEntry();
  deployment.PublishAll();
  REQUIRE(deployment.ServesWithinTries(kMaxTries));
  deployment.PublishDataCentre(false, 1);
  HttpOutcome refused;
  for (int i = 0; i < kMaxTries && refused.status != 503; ++i) {
    refused = deployment.PostFee("out-" + std::to_string(i));
  }
  CHECK(refused.status == 503);
  CHECK(refused.body.find("\"not_run\"") != std::string::npos);
  const std::string before = deployment.ListRuns();
  CHECK(deployment.PostFee("out-again").status == 503);
  CHECK(deployment.ListRuns() == before);
}

// Guards against an entry host that serves requests before it has read a
// configuration.
TEST_CASE("an entry host without configuration is not ready and refuses") {
  Deployment deployment;
  HttpCall outage;
  outage.method = "POST";
  outage.url = "http://" + FormatAddress(deployment.log) +
               "/control/outage?ms=600000&mode=refuse";
  REQUIRE(deployment.Call(outage).status == 200);
  deployment.StartEntry();
  HttpCall ready;
  ready.url = "http://" +
              FormatAddress(deployment.entry_context->settings.http) + "/ready";
  CHECK(deployment.Call(ready).status == 503);
  const HttpOutcome refused = deployment.PostFee("early");
  CHECK(refused.status == 503);
  CHECK(refused.body.find("\"not_run\"") != std::string::npos);
}

}  // namespace
}  // namespace toucanhollow
