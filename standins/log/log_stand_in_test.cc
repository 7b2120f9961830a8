#include "standins/log/log_stand_in.h"

#include <catch2/catch.hpp>

#include "platform_log/platform_log.h"

namespace toucanhollow {
namespace {

struct Fixture {
  EventLoop loop;
  LogStandIn stand_in;
  std::unique_ptr<HttpServer> server;
  HttpClient client{this->loop};
  std::unique_ptr<PlatformLog> log;

  explicit Fixture(LogStandInOptions options = {})
      : stand_in(this->loop, options) {
    auto listening = HttpServer::Listen(
        this->loop, {}, [this](const HttpRequest& request, const auto& writer) {
          this->stand_in.Handle(request, writer);
        });
    REQUIRE(listening.has_value());
    this->server = std::move(listening).value();
    PlatformLogOptions log_options;
    log_options.address = this->Address();
    log_options.append_timeout = Seconds(1);
    this->log = std::make_unique<PlatformLog>(this->client, log_options);
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->server->Port());
  }

  LogAppendOutcome Append(const std::vector<std::string>& payloads,
                          const std::string& id = "") {
    LogAppendOutcome result;
    this->log->Append("claims", payloads, id, [&](LogAppendOutcome outcome) {
      result = std::move(outcome);
      this->loop.Stop();
    });
    this->loop.Run();
    return result;
  }

  Result<LogBatch> Read(LogOffset from, Duration wait = Duration(0)) {
    Result<LogBatch> result = LogBatch{};
    this->log->Read("claims", from, 100, wait, [&](Result<LogBatch> batch) {
      result = std::move(batch);
      this->loop.Stop();
    });
    this->loop.Run();
    return result;
  }

  void Control(const std::string& path) {
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

// Guards against batches that are interleaved or read at other offsets than
// those that the append reported.
TEST_CASE("appended batches are read back at their offsets") {
  Fixture fixture;
  CHECK(fixture.Append({"a", "b"}).first_offset == 1);
  const LogAppendOutcome second = fixture.Append({"c"});
  CHECK(second.end == AppendEnd::kAppended);
  CHECK(second.first_offset == 3);
  const LogBatch batch = fixture.Read(2).value();
  REQUIRE(batch.entries.size() == 2);
  CHECK(batch.entries[1].payload == "c");
  CHECK(batch.status.next_offset == 4);
  CHECK(fixture.Read(4).value().entries.empty());
}

// Guards against a long poll that misses an entry appended while it waits.
TEST_CASE("a long poll ends when an entry is appended") {
  Fixture fixture;
  const Timer later(fixture.loop, Milliseconds(20), Duration(0), [&] {
    fixture.log->Append("claims", {"x"}, "", [](const LogAppendOutcome&) {});
  });
  CHECK(fixture.Read(1, Seconds(20)).value().entries.size() == 1);
}

// Guards against "certainly not appended" for an append that took effect.
TEST_CASE("a lost acknowledgement leaves the append unconfirmed") {
  Fixture fixture;
  fixture.Control("lose_acks?count=1");
  const LogAppendOutcome lost = fixture.Append({"a"});
  CHECK(lost.end == AppendEnd::kMaybeAppended);
  CHECK(lost.code == ResultCode::kLogAppendUnconfirmed);
  CHECK(fixture.Read(1).value().entries.size() == 1);
  CHECK(fixture.Append({"b"}).end == AppendEnd::kAppended);
}

// Guards against outages and rate limits that look like lost answers, which
// would cost a read of the log for each refused append.
TEST_CASE("refusals are certainly not appended") {
  LogStandInOptions options;
  options.appends_per_s = 1;
  Fixture fixture(options);
  CHECK(fixture.Append({"a"}).end == AppendEnd::kAppended);
  CHECK(fixture.Append({"b"}).end == AppendEnd::kNotAppended);
  fixture.Control("outage?ms=100000");
  CHECK(fixture.Append({"c"}).end == AppendEnd::kNotAppended);
  CHECK(fixture.Read(1).error().code == ResultCode::kLogUnreachable);
  fixture.Control("outage?ms=100000&mode=silent");
  CHECK(fixture.Append({"d"}).end == AppendEnd::kMaybeAppended);
  fixture.Control("outage?ms=0");
  CHECK(fixture.Read(1).value().entries.size() == 1);
  fixture.server->StopAccepting();
  CHECK(fixture.Append({"e"}).end == AppendEnd::kNotAppended);
}

// Guards against a reader that takes a later entry for the one it asked for.
TEST_CASE("dropped offsets are reported") {
  LogStandInOptions options;
  options.retained_entries = 2;
  Fixture fixture(options);
  fixture.Append({"a", "b", "c"});
  CHECK(fixture.Read(1).error().code == ResultCode::kLogOffsetDropped);
  CHECK(fixture.Read(2).value().status.first_offset == 2);
}

// Guards against an append id that a log with that feature ignores.
TEST_CASE("a log may append a repeated append id once") {
  LogStandInOptions options;
  options.dedupe_appends = true;
  Fixture fixture(options);
  CHECK(fixture.Append({"a"}, "id").first_offset == 1);
  CHECK(fixture.Append({"a"}, "id").first_offset == 1);
  CHECK(fixture.Read(1).value().entries.size() == 1);
}

}  // namespace
}  // namespace toucanhollow
