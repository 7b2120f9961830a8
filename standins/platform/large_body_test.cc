// Bodies that take more memory than the host may use.
#include <algorithm>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "standins/platform/large_body.h"
#include "standins/platform/relay_process.h"

namespace toucanhollow {
namespace {

constexpr std::size_t kMebibyte = std::size_t{1024} * 1024;
constexpr std::size_t kMemoryMb = 128;
constexpr std::size_t kLargeBytes = 4 * kMebibyte;

// The real program with a configuration that allows large bodies.
struct LargeBodyProcess : RelayProcess {
  const std::shared_ptr<const std::string> body =
      std::make_shared<const std::string>(kLargeBytes, 'z');

  explicit LargeBodyProcess(std::size_t memory_mb = 160)
      : RelayProcess(Seconds(4), memory_mb) {
    this->store.Put("keyed.op", "config", LargeBodyConfig());
    REQUIRE(this->RunUntil([this] {
      return Ask(*this, LengthHead("probe", 2000) + std::string(2000, 'p'))
                 .status == 200;
    }));
  }

  std::size_t PeakMb() const {
    std::ifstream file("/proc/" + std::to_string(this->process->pid()) +
                       "/status");
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with("VmHWM:")) {
        return std::stoull(line.substr(6)) / 1024;
      }
    }
    return 0;
  }

  // Lists the second server, with a slot for each request.
  void ListManySlots() {
    this->store.Put("keyed.servers", "i-2",
                    R"({"service":"ledger","address":"127.0.0.1:)" +
                        std::to_string(this->second.Port()) +
                        R"(","zone":"west","slots":2000,"state":"ready",)" +
                        R"("born":1700000000000})");
    this->RunFor(Milliseconds(200));
  }

  // A request with a large body.
  std::unique_ptr<Caller> Upload(const std::string& id) {
    auto caller = std::make_unique<Caller>(this->loop, this->settings.callers);
    caller->connection->Write(LengthHead(id, kLargeBytes));
    caller->connection->Write(this->body);
    return caller;
  }
};

// Guards against a host that is ended for its memory, with all its requests,
// when large bodies come at once.
TEST_CASE("bursts of large bodies stay within the memory of the host") {
  constexpr int kBursts = 3;
  constexpr int kUploads = 40;
  LargeBodyProcess site(kMemoryMb);
  int served = 0;
  int refused = 0;
  int small_asked = 0;
  int small_served = 0;
  for (int burst = 0; burst < kBursts; ++burst) {
    std::vector<std::string> ids;
    std::vector<std::unique_ptr<Caller>> uploads;
    for (int i = 0; i < kUploads; ++i) {
      site.first.script.push_back(DelayedAnswer(Milliseconds(150)));
      ids.push_back("u" + std::to_string(burst) + "-" + std::to_string(i));
      uploads.push_back(site.Upload(ids.back()));
    }
    const TimePoint end = EventLoop::Now() + Seconds(20);
    bool all_ended = false;
    while (!all_ended && EventLoop::Now() < end) {
      ++small_asked;
      small_served +=
          Ask(site, Request("GET", "/s/x", "s" + std::to_string(small_asked)))
                      .status == 200
              ? 1
              : 0;
      all_ended = true;
      for (const auto& upload : uploads) {
        all_ended = all_ended && Ended(*upload);
      }
    }
    for (int i = 0; i < kUploads; ++i) {
      const int status = Status(*uploads[i]);
      const int runs = site.first.runs[ids[i]];
      INFO("upload " << ids[i]);
      CHECK((status == 200 || status == 503));
      CHECK(runs == (status == 200 ? 1 : 0));
      CHECK((status != 503 || HasRetryAfter(*uploads[i])));
      served += status == 200 ? 1 : 0;
      refused += status == 503 ? 1 : 0;
    }
    site.first.script.clear();
    site.first.bodies.clear();
  }
  INFO("peak " << site.PeakMb() << " MB, served " << served << ", refused "
               << refused << ", small " << small_served << " of "
               << small_asked);
  CHECK(site.process->IsRunning());
  CHECK(site.PeakMb() > 0);
  CHECK(site.PeakMb() <= kMemoryMb);
  CHECK(small_served == small_asked);
  CHECK(served >= kBursts * 8);
}

// Guards against answers that take more memory than the host may use, as their
// callers do not read them or they have not ended yet.
TEST_CASE("large answers stay within the memory of the host") {
  constexpr int kCallers = 300;
  constexpr std::size_t kMemoryMb = 80;
  LargeBodyProcess site(kMemoryMb);
  site.ListManySlots();
  const bool callers_read = GENERATE(false, true);
  ScriptedAnswer answer = SealedAnswer(std::string(250'000, 'a'));
  if (callers_read) {
    // The host holds the answers, as the last byte comes late.
    answer.later = answer.bytes.substr(answer.bytes.size() - 1);
    answer.bytes.pop_back();
    answer.delay = Seconds(2);
  } else {
    answer = SealedAnswer(std::string(700'000, 'a'));
  }
  std::vector<std::unique_ptr<Caller>> callers;
  for (int i = 0; i < kCallers; ++i) {
    site.first.script.push_back(answer);
    site.second.script.push_back(answer);
    callers.push_back(
        std::make_unique<Caller>(site.loop, site.settings.callers));
    callers.back()->connection->SetReading(callers_read);
    callers.back()->connection->Write(LengthHead("a" + std::to_string(i), 4) +
                                      "body");
    if (i % 20 == 0) {
      site.RunFor(Milliseconds(10));
    }
  }
  site.RunFor(Seconds(3));
  site.first.script.clear();
  site.second.script.clear();
  int whole = 0;
  for (const auto& caller : callers) {
    whole += Status(*caller) == 200 ? 1 : 0;
  }
  int small_served = 0;
  for (int i = 0; i < 10; ++i) {
    small_served +=
        Ask(site, Request("GET", "/s/x", "s")).status == 200 ? 1 : 0;
  }
  INFO("peak " << site.PeakMb() << " MB, unread "
               << Metric(site, "held_bytes{kind=\"unread\"}") << ", to callers "
               << Metric(site, "held_bytes{kind=\"to_callers\"}")
               << ", answers " << Metric(site, "held_bytes{kind=\"answers\"}")
               << ", ran " << site.second.heads.size() << ", whole answers "
               << whole);
  CHECK(site.process->IsRunning());
  CHECK(site.PeakMb() <= kMemoryMb);
  CHECK(small_served == 10);
  CHECK(site.second.heads.size() > kCallers / 2);
  CHECK((!callers_read || whole == kCallers));
}

// Guards against answers that pile up for a caller that sends request after
// request and reads nothing.
TEST_CASE("a caller that reads nothing is not answered without end") {
  constexpr int kRequests = 600;
  constexpr std::size_t kAnswerBytes = 200'000;
  LargeBodyProcess site;
  const std::size_t before = site.PeakMb();
  Caller caller(site.loop, site.settings.callers);
  caller.connection->SetReading(false);
  for (int i = 0; i < kRequests; ++i) {
    site.first.script.push_back(SealedAnswer(std::string(kAnswerBytes, 'a')));
    caller.connection->Write(LengthHead("p" + std::to_string(i), 4) + "body");
  }
  site.RunFor(Seconds(2));
  INFO("ran " << site.first.heads.size());
  CHECK(site.PeakMb() < before + 4);
  caller.connection->SetReading(true);
  std::size_t answers = 0;
  site.RunUntil(
      [&] {
        while (caller.parser.done()) {
          const std::string rest = caller.parser.TakeUnparsedBytes();
          caller.parser = ResponseParser(true);
          caller.parser.Feed(rest);
          ++answers;
        }
        return answers == kRequests;
      },
      Seconds(10));
  CHECK(answers == kRequests);
}

// Guards against a list of parts that takes many times its bytes while its
// request is at a server.
TEST_CASE("prompts of many parts take little memory") {
  constexpr int kRequests = 150;
  LargeBodyProcess site;
  site.ListManySlots();
  std::string parts;
  for (int i = 0; i < 7000; ++i) {
    parts += "a,";
  }
  const std::size_t before = site.PeakMb();
  std::vector<std::unique_ptr<Caller>> callers;
  for (int i = 0; i < kRequests; ++i) {
    site.first.script.push_back(DelayedAnswer(Milliseconds(500)));
    site.second.script.push_back(DelayedAnswer(Milliseconds(500)));
    callers.push_back(
        std::make_unique<Caller>(site.loop, site.settings.callers));
    callers.back()->connection->Write(
        Request("GET", "/s/x", "p" + std::to_string(i),
                "X-Toucanhollow-Prompt-Prefix: " + parts + "\r\n"));
  }
  site.RunUntil([&] { return std::ranges::all_of(callers, IsEnded); });
  CHECK(std::ranges::all_of(
      callers, [](const auto& caller) { return Status(*caller) == 200; }));
  CHECK(site.PeakMb() < before + 20);
}

// Guards against bodies at the ports for the balancer, for other hosts and for
// metrics, none of which takes any.
TEST_CASE("bodies at the ports beside that for callers take no memory") {
  LargeBodyProcess site;
  const std::size_t before = site.PeakMb();
  const std::string body(900'000, 'b');
  std::vector<std::unique_ptr<Caller>> callers;
  for (const Address& port :
       {site.settings.readiness, site.settings.control,
        Address{site.settings.control.ip, site.settings.metrics_port}}) {
    for (int i = 0; i < 20; ++i) {
      callers.push_back(std::make_unique<Caller>(site.loop, port));
      callers.back()->connection->Write(
          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n");
      callers.back()->connection->Write(body);
    }
  }
  site.RunFor(Seconds(1));
  CHECK(site.PeakMb() < before + 8);
  CHECK(Metric(site, "sessions") >= 0);
}

// Guards against several copies of each body: one that is kept to be sent
// again, one that waits for the connection and one that is being sent.
TEST_CASE("a host holds each body once") {
  constexpr int kUploads = 12;
  LargeBodyProcess site;
  const std::size_t before = site.PeakMb();
  std::vector<std::unique_ptr<Caller>> uploads;
  for (int i = 0; i < kUploads; ++i) {
    site.first.script.push_back(DelayedAnswer(Milliseconds(500)));
    uploads.push_back(site.Upload("u" + std::to_string(i)));
  }
  site.RunUntil([&] { return std::ranges::all_of(uploads, IsEnded); },
                Seconds(20));
  int served = 0;
  for (const auto& upload : uploads) {
    served += Status(*upload) == 200 ? 1 : 0;
  }
  CHECK(served == kUploads);
  CHECK(site.PeakMb() < before + kUploads * kLargeBytes / kMebibyte * 3 / 2);
}

// Guards against a body that is kept for the whole answer.
TEST_CASE("a body is freed once no server can get it any more") {
  Site site;
  site.store.Put("keyed.op", "config", LargeBodyConfig());
  site.List("i-1", site.first, "ready");
  site.Start();
  REQUIRE(Serves(site));
  ScriptedAnswer slow;
  slow.bytes =
      "HTTP/1.1 200 OK\r\nX-Toucanhollow-Request-Id: {id}\r\n"
      "X-Toucanhollow-Response-Seal: seal\r\nContent-Length: 4\r\n\r\nab";
  slow.later = "cd";
  slow.delay = Milliseconds(600);
  site.first.script = {slow};
  const std::size_t size = 300'000;
  Caller caller(site.loop, site.settings.callers);
  caller.connection->Write(LengthHead("r1", size) + std::string(size, 'z'));
  CHECK(site.RunUntil([&] { return site.first.runs["r1"] == 1; }));
  site.RunFor(Milliseconds(200));
  CHECK_FALSE(Ended(caller));
  CHECK(Metric(site, "held_bytes{kind=\"bodies\"}") == 0);
  site.RunUntil([&] { return Ended(caller); });
  CHECK(Status(caller) == 200);
}

}  // namespace
}  // namespace toucanhollow
