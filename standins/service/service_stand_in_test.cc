#include "standins/service/service_stand_in.h"

#include <catch2/catch.hpp>

#include "service_api/service_client.h"

namespace toucanhollow {
namespace {

struct Fixture {
  EventLoop loop;
  ServiceStandIn stand_in{this->loop};
  std::unique_ptr<HttpServer> server;
  HttpClient http{this->loop};
  std::unique_ptr<ServiceClient> service;

  Fixture() {
    auto listening = HttpServer::Listen(
        this->loop, {}, [this](const HttpRequest& request, const auto& writer) {
          this->stand_in.Handle(request, writer);
        });
    REQUIRE(listening.has_value());
    this->server = std::move(listening).value();
    ServiceClientOptions options;
    options.address = "127.0.0.1:" + std::to_string(this->server->Port());
    this->service = std::make_unique<ServiceClient>(this->http, options);
  }

  ServiceOutcome Call(const ServiceCall& call) {
    ServiceOutcome result;
    this->service->Call(call, [&](ServiceOutcome outcome) {
      result = std::move(outcome);
      this->loop.Stop();
    });
    this->loop.Run();
    return result;
  }

  ServiceOutcome Post(const std::string& body, Duration timeout = Seconds(10)) {
    ServiceCall call;
    call.method = "POST";
    call.path = "/fees";
    call.body = body;
    call.idempotency_key = "1-a";
    call.timeout = timeout;
    return this->Call(call);
  }

  std::string Get(const std::string& path) {
    ServiceCall call;
    call.path = path;
    return this->Call(call).body;
  }
};

// Guards against a lost answer reported as certainly not run, and against a
// stand-in that does not record the run behind it.
TEST_CASE("a lost answer leaves the outcome unknown") {
  Fixture fixture;
  fixture.Get("/control/lose_answers?count=1");
  CHECK(fixture.Post("fee 1").end == ServiceEnd::kUnknown);
  CHECK(fixture.Post("fee 2").end == ServiceEnd::kAnswered);
  fixture.Get("/control/delay?ms=100000");
  CHECK(fixture.Post("fee 3", Milliseconds(500)).end == ServiceEnd::kUnknown);
  CHECK(fixture.Get("/control/runs") ==
        "POST 1-a fee 1\nPOST 1-a fee 2\nPOST 1-a fee 3\n");
}

// Guards against an unreachable or refusing service reported as unknown.
TEST_CASE("a refusal is certainly not run") {
  Fixture fixture;
  fixture.Get("/control/refuse?count=1");
  CHECK(fixture.Post("fee").end == ServiceEnd::kNotRun);
  CHECK(fixture.Get("/control/stats") == "runs 0\nreads 0\n");
  fixture.server->StopAccepting();
  CHECK(fixture.Post("fee").end == ServiceEnd::kNotRun);
}

}  // namespace
}  // namespace toucanhollow
