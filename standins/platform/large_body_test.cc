// Bodies that take more memory than the host may use.
#include <algorithm>
#include <fstream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "standins/platform/relay_process.h"

namespace toucanhollow {
namespace {

constexpr std::size_t kMebibyte = std::size_t{1024} * 1024;
constexpr std::size_t kLargeBytes = 4 * kMebibyte;

std::string LargeBodyConfig() {
  std::string text = ConfigText(2, "\"k1\"");
  const std::pair<std::string, std::string> changes[] = {
      {R"("max_body_bytes":1000)", R"("max_body_bytes":4194304)"},
      {R"("timeout_ms":800)", R"("timeout_ms":8000)"},
      {R"("header_timeout_ms":300)", R"("header_timeout_ms":3000)"}};
  for (const auto& [from, to] : changes) {
    for (std::size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size())) {
      text.replace(at, from.size(), to);
    }
  }
  return text;
}

std::string Head(const std::string& id, const std::string& framing) {
  std::string head = Request("POST", "/u/x", id, framing);
  return head.replace(head.find("1500"), 4, "6000");
}

std::string LengthHead(const std::string& id, std::size_t bytes) {
  return Head(id, "Content-Length: " + std::to_string(bytes) + "\r\n");
}

ScriptedAnswer DelayedAnswer(Duration delay) {
  ScriptedAnswer answer = SealedAnswer("ok");
  answer.later = std::exchange(answer.bytes, "");
  answer.delay = delay;
  return answer;
}

// The real program with a configuration that allows large bodies.
struct LargeBodyProcess : RelayProcess {
  const std::shared_ptr<const std::string> body =
      std::make_shared<const std::string>(kLargeBytes, 'z');

  LargeBodyProcess() : RelayProcess(Seconds(4)) {
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

  // A request with a large body.
  std::unique_ptr<Caller> Upload(const std::string& id) {
    auto caller = std::make_unique<Caller>(this->loop, this->settings.callers);
    caller->connection->Write(LengthHead(id, kLargeBytes));
    caller->connection->Write(this->body);
    return caller;
  }
};

bool Ended(const Caller& caller) {
  return caller.parser.done() || caller.ended;
}

bool IsEnded(const std::unique_ptr<Caller>& caller) {
  return Ended(*caller);
}

int Status(const Caller& caller) {
  return caller.parser.done() ? caller.parser.head().status : 0;
}

// A value of the metrics of a host, or -1.
double Metric(Site& site, const std::string& name) {
  Caller caller(site.loop,
                {site.settings.control.ip, site.settings.metrics_port});
  caller.connection->Write(
      "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  site.RunUntil([&] { return Ended(caller); });
  const std::string text = "\n" + caller.parser.TakeBody();
  const std::size_t at = text.find("\ntoucanhollow_" + name + " ");
  return at == std::string::npos
             ? -1
             : std::stod(text.substr(at + name.size() + 15));
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
