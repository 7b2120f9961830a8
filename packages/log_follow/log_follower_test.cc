#include "log_follow/log_follower.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "standins/log/log_stand_in.h"

namespace toucanhollow {
namespace {

struct Fixture {
  EventLoop loop;
  LogStandIn stand_in{loop, {}};
  std::unique_ptr<HttpServer> server;
  HttpClient client{loop};
  std::unique_ptr<PlatformLog> log;
  ProcessContext context{loop, Settings{}};
  std::vector<LogOffset> offsets;
  std::vector<bool> reachable;
  std::unique_ptr<LogFollower> follower;
  std::function<bool()> stop_condition;

  Fixture() {
    auto listening = HttpServer::Listen(
        this->loop, {}, [this](const HttpRequest& request, const auto& writer) {
          this->stand_in.Handle(request, writer);
        });
    REQUIRE(listening.has_value());
    this->server = std::move(listening).value();
    PlatformLogOptions options;
    options.address = this->Address();
    this->log = std::make_unique<PlatformLog>(this->client, options);
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->server->Port());
  }

  void Follow(LogOffset from) {
    const auto check = [this] {
      if (this->stop_condition && this->stop_condition()) {
        this->loop.Stop();
      }
    };
    this->follower = std::make_unique<LogFollower>(
        this->context, *this->log, "claims", from,
        LogFollowerCallbacks{[this, check](const LogEntry& entry) {
                               this->offsets.push_back(entry.offset);
                               check();
                             },
                             nullptr,
                             [this, check](bool is_reachable) {
                               this->reachable.push_back(is_reachable);
                               check();
                             }});
  }

  void RunUntil(std::function<bool()> condition) {
    this->stop_condition = std::move(condition);
    if (!this->stop_condition()) {
      this->loop.Run();
    }
    this->stop_condition = nullptr;
  }

  void Append(int count) {
    int pending = count;
    for (int i = 0; i < count; ++i) {
      this->log->Append("claims", {"x"}, "", [&](const LogAppendOutcome&) {
        if (--pending == 0) {
          this->loop.Stop();
        }
      });
    }
    this->loop.Run();
  }

  void PostControl(const std::string& path) {
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + this->Address() + "/control/" + path;
    HttpCallbacks callbacks;
    callbacks.on_done = [&](const HttpOutcome& outcome) {
      CHECK(outcome.status == 200);
      this->loop.Stop();
    };
    this->client.Start(call, std::move(callbacks));
    this->loop.Run();
  }
};

// Guards against a follower that stops retrying during an outage, and against
// entries that are lost or reported twice.
TEST_CASE("entries are reported once and in order after an outage") {
  Fixture fixture;
  fixture.Append(3);
  fixture.PostControl("outage?ms=300&mode=refuse");
  fixture.Follow(2);
  CHECK_FALSE(fixture.follower->IsReachable());
  fixture.RunUntil([&] { return fixture.offsets.size() == 2; });
  CHECK(fixture.reachable == std::vector<bool>{true});
  fixture.Append(2);
  fixture.RunUntil([&] { return fixture.offsets.size() == 4; });
  CHECK(fixture.offsets == std::vector<LogOffset>{2, 3, 4, 5});
}

// Guards against a follower that requests dropped entries forever.
TEST_CASE("dropped entries are skipped") {
  Fixture fixture;
  fixture.Append(5);
  fixture.PostControl("drop?stream=claims&before=4");
  fixture.Follow(1);
  fixture.RunUntil([&] { return fixture.offsets.size() == 2; });
  CHECK(fixture.offsets == std::vector<LogOffset>{4, 5});
}

}  // namespace
}  // namespace toucanhollow
