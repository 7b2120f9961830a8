// Records of other writers in the store, which the real program reads at once
// and again at each start.
#include <csignal>

#include <array>
#include <cstddef>
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "standins/platform/client_crowd.h"
#include "standins/platform/relay_process.h"

namespace toucanhollow {
namespace {

std::string Lists(std::size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

std::string Objects(std::size_t levels) {
  std::string text;
  for (std::size_t i = 0; i < levels; ++i) {
    text += "{\"a\":";
  }
  return text + "0" + std::string(levels, '}');
}

// The peak of the process's resident memory.
std::size_t PeakMb(const RelayProcess& site) {
  constexpr std::size_t kMebibyte = std::size_t{1} << 20;
  return PeakResidentBytes(site.process->pid()) / kMebibyte;
}

// "begin", the element as often as it fits, "end".
std::string Repeated(const std::string& begin,
                     const std::string& element,
                     const std::string& end,
                     std::size_t bytes) {
  std::string text = begin + element;
  while (text.size() + element.size() + 1 + end.size() <= bytes) {
    text += "," + element;
  }
  return text + end;
}

// Puts the text where each kind of record has a field of another type.
void PutEverywhere(PlatformStoreStandIn& store, const std::string& text) {
  for (const char* field :
       {"version", "routes", "services", "limits", "tenants"}) {
    std::string config = ConfigText(2, "\"k1\"");
    const std::string name = std::string("\"") + field + "\":";
    config.insert(config.find(name) + name.size(), text + ",\"other\":");
    store.Put("keyed.op", "config", config);
  }
  store.Put("keyed.op", "config", text);
  store.Put("keyed.op", "evacuate/west", text);
  for (const char* field : {"service", "address", "zone", "version", "slots",
                            "state", "born", "sequence", "cold_left_ms"}) {
    store.Put("keyed.servers", std::string("i-") + field,
              std::string("{\"") + field + "\":" + text + "}");
  }
  store.Put("keyed.servers", "i-record", text);
  store.Put("keyed.status", "quarantine/1", text);
  store.Put("keyed.status", "quarantine/2", "{\"service\":" + text + "}");
  store.Put("keyed.status", "other", text);
}

// Guards against a record that ends each host that reads it, by a stack that
// overflows for instance, and each one that starts after it.
TEST_CASE("records of other writers do not end a host") {
  constexpr std::size_t kListLevels = 120'000;
  constexpr std::size_t kObjectLevels = 40'000;
  RelayProcess site(Seconds(4));
  for (const std::string& text :
       {Lists(kListLevels), std::string(kListLevels, '['),
        Objects(kObjectLevels), std::string("1e999"), std::string("\xff\xfe"),
        "\"" + std::string(kListLevels, '\\') + "\""}) {
    INFO("record of " << text.size() << " bytes: " << text.substr(0, 8));
    PutEverywhere(site.store, text);
    site.RunFor(Milliseconds(300));
    REQUIRE(site.process->IsRunning());
    site.process->Signal(SIGKILL);
    REQUIRE(site.RunUntil([&] { return !site.process->IsRunning(); }));
    site.process->Start();
    site.RunFor(Milliseconds(500));
    REQUIRE(site.process->IsRunning());
  }
  site.store.Put("keyed.op", "evacuate/west", std::nullopt);
  site.store.Put("keyed.op", "config", ConfigText(3, "\"k1\""));
  site.List("i-1", site.first, "ready");
  CHECK(site.RunUntil(
      [&] { return Ask(site, Request("GET", "/s/x", "after")).status == 200; },
      Seconds(5)));
}

// Guards against values that no host can use and that fill its memory, as they
// arrive or at its next start, and against usable records that are lost with
// them.
TEST_CASE("records that no host can use take little memory") {
  constexpr int kRecordsOfKind = 100;
  constexpr std::size_t kBytes = 250'000;
  constexpr std::size_t kMostMb = 16;
  // A started host reads 133 MB that the stand-in encodes.
  static constexpr Duration kReadLimit = Seconds(30);
  constexpr const char* kBegin = R"({"service":"ledger","zone":)";
  const std::string spaces(kBytes, ' ');
  RelayProcess site(Seconds(4));
  const std::size_t before = PeakMb(site);
  REQUIRE(before > 0);
  for (int i = 0; i < kRecordsOfKind; ++i) {
    const std::string number = std::to_string(i);
    // In turn: wrong fields, and bytes that are no JSON.
    site.store.Put(
        "keyed.servers", "w-" + number,
        i % 2 == 0 ? kBegin + number + spaces + "}" : number + spaces);
    site.store.Put("keyed.op", "evacuate/" + number, spaces);
    site.store.Put("keyed.op", "prompt/" + number, "{" + spaces);
    site.store.Put("keyed.op", "other/" + number, spaces);
    site.RunFor(Milliseconds(5));
  }
  site.store.Put("keyed.servers", "i-1", std::nullopt);
  site.store.Put("keyed.servers", "i-2",
                 R"({"service":"ledger","address":")" + site.second.ip() + ":" +
                     std::to_string(site.second.Port()) +
                     R"(","zone":"west","slots":6,"state":"ready",)" +
                     R"("born":1700000000000)" + spaces + "}");
  const auto answers = [&site](int status) {
    return site.RunUntil(
        [&] {
          return Ask(site, Request("GET", "/s/x", "after")).status == status;
        },
        kReadLimit);
  };
  site.RunFor(Seconds(3));
  CHECK(answers(200));
  const std::size_t peak = PeakMb(site);
  site.process->Signal(SIGKILL);
  REQUIRE(site.RunUntil([&] { return !site.process->IsRunning(); }));
  site.process->Start();
  CHECK(answers(200));
  site.RunFor(Seconds(1));
  const std::size_t restarted_peak = PeakMb(site);
  INFO("before " << before << " MB, peak " << peak << " MB, after a start "
                 << restarted_peak << " MB");
  CHECK(peak <= before + kMostMb);
  CHECK(restarted_peak <= before + kMostMb);
  site.store.Put("keyed.op", "evacuate/west", spaces);
  CHECK(answers(503));
}

// Guards against short values that no host can use and that fill its memory by
// their number.
TEST_CASE("many records that no host can use take little memory") {
  constexpr int kRecords = 40'000;
  constexpr std::size_t kBytes = 200;
  constexpr std::size_t kMostMb = 16;
  RelayProcess site(Seconds(4));
  const std::size_t before = PeakMb(site);
  REQUIRE(before > 0);
  for (int i = 0; i < kRecords; ++i) {
    site.store.Put("keyed.servers", "w-" + std::to_string(i),
                   std::string(kBytes, 'x'));
  }
  site.List("i-1", site.first, "draining");
  site.List("i-2", site.second, "ready");
  const auto serves = [&site] {
    return site.RunUntil(
        [&] {
          return Ask(site, Request("GET", "/s/x", "after")).status == 200;
        },
        Seconds(20));
  };
  site.RunFor(Seconds(5));
  CHECK(serves());
  const std::size_t peak = PeakMb(site);
  site.process->Signal(SIGKILL);
  REQUIRE(site.RunUntil([&] { return !site.process->IsRunning(); }));
  site.process->Start();
  CHECK(serves());
  const std::size_t restarted_peak = PeakMb(site);
  INFO("before " << before << " MB, peak " << peak << " MB, after a start "
                 << restarted_peak << " MB");
  CHECK(peak <= before + kMostMb);
  CHECK(restarted_peak <= before + kMostMb);
}

// Guards against reads of megabytes without a bound on their rate, and against
// a host that stops reading what it still can.
TEST_CASE("pages of the store that are too large are read seldom") {
  constexpr int kRecords = 24;
  constexpr int kMaxReads = 3;
  RelayProcess site(Seconds(4));
  site.RunFor(Seconds(2));
  site.store.page_bytes = std::size_t{64} << 20;
  const auto list = [&site](const std::string& id, const std::string& more) {
    site.store.Put("keyed.servers", id,
                   R"({"service":"ledger","address":")" + site.second.ip() +
                       ":" + std::to_string(site.second.Port()) +
                       R"(","zone":"west","slots":6,"state":"draining",)" +
                       R"("born":1700000000000)" + more + "}");
  };
  for (int i = 0; i < kRecords; ++i) {
    list("j-" + std::to_string(i), std::string(250'000, ' '));
  }
  // The pauses have grown by then.
  site.RunFor(Seconds(4));
  const int before = site.store.reads["keyed.servers"];
  site.RunFor(Seconds(5));
  const int reads = site.store.reads["keyed.servers"] - before;
  INFO(reads << " reads in 5 s");
  CHECK(reads > 0);
  CHECK(reads <= kMaxReads);
  CHECK(Ask(site, Request("GET", "/s/x", "meanwhile")).status == 200);
  site.store.Put("keyed.op", "config", ConfigText(2, "\"k2\""));
  const auto answers = [&site](int status) {
    return site.RunUntil(
        [&] {
          return Ask(site, Request("GET", "/s/x", "after")).status == status;
        },
        Seconds(10));
  };
  CHECK(answers(401));
  site.store.Put("keyed.op", "config", ConfigText(3, "\"k1\""));
  CHECK(answers(200));
  site.store.Put("keyed.servers", "i-1", std::nullopt);
  site.store.page_bytes = std::size_t{1} << 20;
  CHECK(answers(503));
  CHECK(site.process->IsRunning());
}

// Guards against a failure kept for each wrong element, which takes a multiple
// of the record's size.
TEST_CASE("a configuration of wrong elements takes little memory") {
  constexpr std::size_t kBytes = 255'000;
  constexpr std::size_t kMostMb = 10;
  const std::string route =
      R"({"name":"r","host":"h","path_prefix":"/a/","kind":"safe",)";
  for (const auto& [begin, element, end] :
       {std::array<std::string, 3>{R"("routes":[)", "1", "]"},
        {R"("routes":[)" + route + R"("split":[)", "1", "]}]"},
        {R"("routes":[],"services":[)", "1", "]"},
        {R"("routes":[],"services":[],"tenants":[)", "1", "]"},
        {R"("routes":[],"services":[],"tenants":[{"name":"t","api_keys":[)",
         "1", "]}]"}}) {
    INFO(begin);
    RelayProcess site(Seconds(4));
    const std::size_t before = PeakMb(site);
    REQUIRE(before > 0);
    site.store.Put(
        "keyed.op", "config",
        R"({"version":2,)" + Repeated(begin, element, end, kBytes) + "}");
    site.RunFor(Milliseconds(400));
    REQUIRE(site.process->IsRunning());
    const std::size_t peak = PeakMb(site);
    INFO("before " << before << " MB, peak " << peak << " MB");
    CHECK(peak <= before + kMostMb);
  }
}

}  // namespace
}  // namespace toucanhollow
