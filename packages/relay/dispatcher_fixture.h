// A dispatcher with two servers of a service with a cold phase, each with an
// agent, for tests.
#ifndef RELAY_DISPATCHER_FIXTURE_H_
#define RELAY_DISPATCHER_FIXTURE_H_

#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "event_loop/processor_wait.h"
#include "permit/permit_codec.h"
#include "relay/dispatcher.h"

namespace toucanhollow {

// An agent whose answers are decided by the test.
struct FakeAgent {
  enum class Mode { kGrant, kDeny, kSilent };
  Mode mode = Mode::kGrant;
  Duration wait = Milliseconds(20);  // that a denial states
  int asked = 0;
  int isolated_asked = 0;
  int isolations_ended = 0;
  PermitRequest last_request;
  std::unique_ptr<DatagramSocket> socket;

  FakeAgent(EventLoop& loop, const Address& address) {
    auto opened = DatagramSocket::Bind(
        loop, address, [this](const Address& from, std::string_view bytes) {
          const PermitRequest request = DecodePermitRequest(bytes).value();
          if (request.purpose == PermitPurpose::kEndIsolation) {
            ++this->isolations_ended;
            return;
          }
          ++this->asked;
          this->last_request = request;
          this->isolated_asked +=
              request.purpose == PermitPurpose::kIsolatedRequest ? 1 : 0;
          if (this->mode != Mode::kSilent) {
            this->socket->Send(
                from,
                EncodePermitReply(
                    {request.serial, this->mode == Mode::kGrant, this->wait}));
          }
        });
    REQUIRE(opened);
    this->socket = std::move(opened.value());
  }
};

struct DispatcherFixture {
  EventLoop loop;
  Metrics metrics;
  RelaySettings settings;
  PermitClient permits{loop, metrics};
  PromptQuarantine quarantine{loop, metrics};
  std::unique_ptr<Dispatcher> dispatcher;
  PlatformView view;
  std::vector<std::unique_ptr<FakeAgent>> agents;
  std::vector<std::string> placed;
  std::vector<std::string> refused;
  // From the call of Place, as the clock shows it and as the process ran.
  std::vector<Duration> refused_after;
  std::vector<Duration> refused_after_own_time;
  std::vector<ResultCode> refusal_codes;
  std::vector<Placement> placements;
  // Whether the requests that are placed must have a permit.
  bool expects_permits = true;

  DispatcherFixture() {
    this->settings.process.value = "front-1";
    this->agents.push_back(
        std::make_unique<FakeAgent>(this->loop, Address{"127.0.0.2", 0}));
    this->settings.report_port = this->agents[0]->socket->BoundAddress().port;
    this->agents.push_back(std::make_unique<FakeAgent>(
        this->loop, Address{"127.0.0.3", this->settings.report_port}));
    REQUIRE(this->permits.Open({"127.0.0.1", 0}));
    this->dispatcher = std::make_unique<Dispatcher>(
        this->loop, this->settings, this->permits, this->quarantine);
    auto traffic = std::make_shared<TrafficConfig>();
    Service service;
    service.name.value = "drafting";
    service.cold_requests_per_s = 10;
    service.engine = EngineParameters{};
    traffic->services[service.name] = service;
    this->view.traffic = traffic;
    for (const std::string number : {"2", "3"}) {
      KnownServer server;
      server.listed.id = "i-" + number;
      server.listed.service = service.name;
      server.listed.address = {"127.0.0." + number, 1};
      server.listed.slots = 10;
      this->view.servers["i-" + number] = server;
    }
    this->dispatcher->UpdateView(this->view);
  }

  void SetAgents(FakeAgent::Mode mode) {
    for (const auto& agent : this->agents) {
      agent->mode = mode;
    }
  }

  // `parts`: ids of the shared parts of the prompt.
  void Place(const std::string& id,
             Duration patience = Milliseconds(200),
             const std::vector<std::string>& parts = {}) {
    DispatchRequest request;
    request.prompt_parts = IdentifyParts({"drafting"}, parts);
    request.request.value = id;
    request.service.value = "drafting";
    request.prompt_tokens = 100;
    request.wait_until = EventLoop::Now() + patience;
    request.isolation_wait_until = request.wait_until;
    request.deadline = EventLoop::Now() + Seconds(8);
    this->dispatcher->Place(
        request,
        {[this, id](const Placement& placement) {
           CHECK(placement.write_by.has_value() == this->expects_permits);
           this->placed.push_back(id);
           this->placements.push_back(placement);
         },
         [this, id, placed_at = EventLoop::Now(), own_time = OwnTime()](
             ResultCode code, Duration retry_after) {
           this->refused_after.push_back(EventLoop::Now() - placed_at);
           this->refused_after_own_time.push_back(own_time.Passed());
           this->refusal_codes.push_back(code);
           CHECK(retry_after > Duration(0));
           this->refused.push_back(id);
         }});
  }

  int Outstanding() const {
    int sum = 0;
    for (const ServerLoad& load :
         this->dispatcher->MakeLoadReport(EventLoop::Now()).loads) {
      sum += load.outstanding;
    }
    return sum;
  }

  // Runs until this many requests are placed, or for a second.
  void RunUntilPlaced(std::size_t count) {
    const TimePoint begin = EventLoop::Now();
    while (this->placements.size() < count &&
           EventLoop::Now() - begin < Seconds(1)) {
      this->RunFor(Milliseconds(5));
    }
    REQUIRE(this->placements.size() == count);
  }

  // Runs for so long without the time in which the process has no processor.
  void RunForOwnTime(Duration time) {
    const OwnTime own_time;
    while (own_time.Passed() < time) {
      this->RunFor(time - own_time.Passed());
    }
  }

  void RunFor(Duration time) {
    const Timer timer(this->loop, time, Duration(0),
                      [this] { this->loop.Stop(); });
    this->loop.Run();
  }
};

}  // namespace toucanhollow

#endif  // RELAY_DISPATCHER_FIXTURE_H_
