#include "standins/engine/engine_stand_in.h"

#include <catch2/catch.hpp>

#include "engine_api/engine_client.h"
#include "standins/engine/token_text.h"

namespace toucanhollow {
namespace {

struct Answer {
  std::string text;
  EngineStreamOutcome outcome;
  bool ended = false;
};

EngineStandInOptions FastOptions() {
  EngineStandInOptions options;
  options.step_time = Milliseconds(1);
  options.prefill_per_token = Duration(1);
  options.status_lag = Milliseconds(1);
  options.restart_time = Milliseconds(50);
  options.warmth.doubling_time = Seconds(100);
  return options;
}

struct Fixture {
  EventLoop loop;
  EngineStandIn stand_in;
  std::unique_ptr<HttpServer> server;
  HttpClient http{this->loop};
  std::unique_ptr<EngineClient> engine;

  explicit Fixture(const EngineStandInOptions& options = FastOptions())
      : stand_in(this->loop, options) {
    auto listening = HttpServer::Listen(
        this->loop, {}, [this](const HttpRequest& request, const auto& writer) {
          this->stand_in.Handle(request, writer);
        });
    REQUIRE(listening.has_value());
    this->server = std::move(listening).value();
    EngineClientOptions client_options;
    client_options.address = this->Address();
    this->engine = std::make_unique<EngineClient>(this->http, client_options);
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->server->Port());
  }

  EngineStreamCallbacks Into(Answer& answer) {
    EngineStreamCallbacks callbacks;
    callbacks.on_token = [&](std::int64_t, std::string_view text) {
      answer.text += text;
    };
    callbacks.on_end = [&](EngineStreamOutcome outcome) {
      answer.outcome = std::move(outcome);
      answer.ended = true;
      this->loop.Stop();
    };
    return callbacks;
  }

  Answer Complete(const EngineRequest& request) {
    Answer answer;
    this->engine->Complete(request, this->Into(answer));
    this->loop.Run();
    return answer;
  }

  void RunFor(Duration duration) {
    const Timer timer(this->loop, duration, Duration(0),
                      [this] { this->loop.Stop(); });
    this->loop.Run();
  }

  std::string Control(const std::string& path) {
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + this->Address() + "/control/" + path;
    std::string body;
    HttpCallbacks callbacks;
    callbacks.on_done = [&](const HttpOutcome& outcome) {
      CHECK(outcome.status == 200);
      body = outcome.body;
      this->loop.Stop();
    };
    this->http.Start(call, std::move(callbacks));
    this->loop.Run();
    return body;
  }

  EngineStatus Status() {
    EngineStatus status;
    this->engine->ReadStatus([&](Result<EngineStatus> result) {
      status = std::move(result).value();
      this->loop.Stop();
    });
    this->loop.Run();
    return status;
  }

  // Empty if the order was taken.
  std::string Order(const EngineOrder& order) {
    std::string reason;
    this->engine->SendEngineOrder(order, [&](const Result<bool>& result) {
      reason = result.has_value() ? "" : result.error().detail;
      this->loop.Stop();
    });
    this->loop.Run();
    return reason;
  }
};

EngineRequest Request(const std::string& id, std::int64_t tokens = 10) {
  return {id, "model-a", "prompt of " + id, tokens, 0, 0};
}

// Guards against tests that take another request's answer for the right one.
TEST_CASE("an answer is a function of its prompt") {
  Fixture fixture;
  const Answer answer = fixture.Complete(Request("r1"));
  CHECK(answer.outcome.end == EngineStreamEnd::kComplete);
  CHECK(answer.text == AnswerText("prompt of r1", 10));
  CHECK(answer.text != AnswerText("prompt of r2", 10));
  EngineRequest continued = Request("r3");
  continued.prompt = "prompt of r1";
  continued.start_index = 4;
  CHECK(AnswerText("prompt of r1", 4) + fixture.Complete(continued).text ==
        answer.text);
  CHECK(fixture.Control("requests").starts_with("r1 whole 10 1 2\n"));
}

// Guards against a stand-in that bears too much, which would hide overload.
TEST_CASE("a cold engine falls over on a third request") {
  Fixture fixture;
  std::array<Answer, 3> answers;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    fixture.engine->Complete(Request("r" + std::to_string(i), 100'000),
                             fixture.Into(answers.at(i)));
  }
  while (!answers[0].ended || !answers[1].ended || !answers[2].ended) {
    fixture.loop.Run();
  }
  for (const Answer& answer : answers) {
    CHECK(answer.outcome.end == EngineStreamEnd::kInterrupted);
  }
  CHECK(fixture.Complete(Request("r4")).outcome.end ==
        EngineStreamEnd::kNotRun);
  fixture.RunFor(Milliseconds(60));
  CHECK(fixture.Complete(Request("r5")).outcome.end ==
        EngineStreamEnd::kComplete);
  const std::string stats = fixture.Control("stats");
  CHECK(stats.find("peak_excess 1\n") != std::string::npos);
  CHECK(stats.find("fall_overs 1\n") != std::string::npos);
}

// Guards against slow start that never ends or starts warm.
TEST_CASE("what an engine bears doubles with busy time") {
  const WarmthOptions options;
  CHECK(BearableRequests(options, Duration(0)) == 2);
  CHECK(BearableRequests(options, Milliseconds(1000)) == 8);
  CHECK(BearableRequests(options, WarmBusyTime(options)) == 32);
  CHECK(StepFactor(options, Duration(0)) == 4.0);
  CHECK(StepFactor(options, WarmBusyTime(options)) == 1.0);
}

// Guards against faults that look like whole answers.
TEST_CASE("faulty answers are told from whole ones") {
  Fixture fixture;
  for (const std::string kind : {"garbage", "flood", "error", "stop"}) {
    fixture.Control("fault?count=1&kind=" + kind);
    const Answer answer = fixture.Complete(Request(kind));
    CHECK(answer.outcome.end == EngineStreamEnd::kInterrupted);
  }
  const std::string half = AnswerText("prompt of stop", 5);
  Answer rest;
  fixture.engine->Resume(Request("stop"), 5, fixture.Into(rest));
  fixture.loop.Run();
  CHECK(rest.outcome.end == EngineStreamEnd::kComplete);
  CHECK(half + rest.text == AnswerText("prompt of stop", 10));
}

// Guards against cancelled work that goes on in the engine.
TEST_CASE("a cancelled stream leaves the batch") {
  Fixture fixture;
  Answer answer;
  fixture.engine->Complete(Request("r1", 100'000), fixture.Into(answer));
  fixture.RunFor(Milliseconds(20));
  CHECK(fixture.Status().running == 1);
  fixture.engine->CancelStream("r1", [](bool stopped) { CHECK(stopped); });
  fixture.loop.Run();
  CHECK(answer.outcome.end == EngineStreamEnd::kInterrupted);
  CHECK(fixture.Control("requests").starts_with("r1 cancelled"));
}

// Guards against an engine that runs past a hold or swaps maps elsewhere than
// at the activation step.
TEST_CASE("a held engine changes its map exactly at the activation step") {
  Fixture fixture;
  const std::int64_t at = fixture.Status().step + 200;
  using Kind = EngineOrder::Kind;
  const EngineOrder stage{Kind::kStageMap, 7, "", "c1", 1, 0, 1000};
  EngineOrder hold{Kind::kHoldBefore, 7, "", "c1", 0, at, 0};
  EngineOrder activate{Kind::kActivateAt, 7, "", "c1", 0, at, 0};
  CHECK(fixture.Order(activate) == "the change is not staged");
  CHECK(fixture.Order(stage).empty());
  CHECK(fixture.Order(hold).empty());
  EngineStatus status = fixture.Status();
  while (status.step < at - 1) {
    fixture.RunFor(Milliseconds(20));
    status = fixture.Status();
  }
  fixture.RunFor(Milliseconds(20));
  CHECK(fixture.Status().step == at - 1);
  CHECK(fixture.Status().staged_change == "c1");
  CHECK(fixture.Order(activate).empty());
  while (fixture.Status().map_version != 1) {
    fixture.RunFor(Milliseconds(5));
  }
  CHECK(fixture.Order(activate).empty());
  CHECK(fixture.Control("map_uses") == "0 0\n" + std::to_string(at) + " 1\n");
}

// Guards against a stand-in that checks fencing when it should not.
TEST_CASE("old fencing tokens are refused or ignored by option") {
  EngineStandInOptions options = FastOptions();
  options.checks_fence = GENERATE(true, false);
  Fixture fixture(options);
  using Kind = EngineOrder::Kind;
  CHECK(fixture.Order({Kind::kStageMap, 9, "", "c2", 1, 0, 0}).empty());
  CHECK(fixture.Order({Kind::kContinueOn, 8, "", "c1", 0, 0, 0}).empty() !=
        options.checks_fence);
}

// Guards against cache events that are complete and at once, which would hide
// faults of the prefix index.
TEST_CASE("cache events are late and have gaps") {
  PrefixCacheOptions options;
  options.max_blocks = 4;
  options.lose_each = 3;
  PrefixCache cache(options);
  const TimePoint now{};
  CHECK(cache.Use({1, 2, 3, 4, 5}, now) == 0);
  CHECK(cache.Use({2, 3, 9}, now) == 2);
  CHECK(cache.EventsFrom(1, now).events.empty());
  const EngineCacheEvents seen = cache.EventsFrom(2, now + options.event_delay);
  CHECK(seen.events == std::vector<EngineCacheEvent>{{2, true, 2},
                                                     {4, true, 4},
                                                     {5, true, 5},
                                                     {7, true, 9},
                                                     {8, false, 4}});
}

}  // namespace
}  // namespace toucanhollow
