#include <catch2/catch.hpp>

#include "traffic/event_splitter.h"
#include "traffic/find_route.h"
#include "traffic/keyed_mirror.h"
#include "traffic/load_board.h"
#include "traffic/place_request.h"
#include "traffic/retry_allowance.h"
#include "traffic/return_order.h"
#include "traffic/server_belief.h"
#include "traffic/start_rate.h"

namespace toucanhollow {
namespace {

TimePoint At(std::int64_t ms) {
  return TimePoint(Milliseconds(ms));
}

Route MakeRoute(const std::string& name, const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = "h.example";
  route.path_prefix = prefix;
  return route;
}

TEST_CASE("the longest prefix of the host wins") {
  TrafficConfig config;
  config.routes = {MakeRoute("short", "/a/"), MakeRoute("long", "/a/b/")};
  CHECK(FindRoute(config, "H.example:80", "/a/b/c?x=/a/")->name == "long");
  CHECK(FindRoute(config, "h.example", "/a/x")->name == "short");
  CHECK(FindRoute(config, "h.example", "/a") == nullptr);
  CHECK(FindRoute(config, "other", "/a/b/") == nullptr);
}

TEST_CASE("weights divide draws between services") {
  Route route;
  route.shares = {{{"a"}, 90}, {{"b"}, 10}};
  int of_b = 0;
  for (std::uint64_t draw = 0; draw < 1000; ++draw) {
    of_b += ChooseService(route, draw * 16777).value == "b" ? 1 : 0;
  }
  CHECK(of_b > 80);
  CHECK(of_b < 120);
}

// Guards against a configuration that goes back to an older record.
TEST_CASE("an older record never replaces a newer one") {
  KeyedMirror mirror;
  CHECK(MergeRecords(mirror, {{"k", "new", 7}}).size() == 1);
  CHECK(MergeRecords(mirror, {{"k", "old", 5}}).empty());
  CHECK(mirror.records.at("k").value == "new");
  CHECK(MergeRecords(mirror, {{"k", std::nullopt, 8}}).size() == 1);
  CHECK(MergeRecords(mirror, {{"k", "new", 7}}).empty());
  CHECK_FALSE(mirror.records.at("k").value.has_value());
}

// Guards against a record that came while pages were read and is dropped as
// missing from them.
TEST_CASE("a complete read removes only what is older than its begin") {
  KeyedMirror mirror;
  MergeRecords(mirror, {{"gone", "x", 1}, {"late", "y", 12}});
  MergeAllKeys(mirror, {{"kept", "z", 3}}, 10);
  CHECK_FALSE(mirror.records.at("gone").value.has_value());
  CHECK(mirror.records.at("late").value == "y");
  CHECK(mirror.complete);
  CHECK(RecordsFrom(mirror, 9).size() == 2);
}

ListedServer MakeServer() {
  ListedServer server;
  server.id = "s";
  server.data_centre.value = "west";
  return server;
}

// Guards against servers that are given up because the store was away, and
// against servers that are kept although their removal was real.
TEST_CASE("a removal counts at once only while the store is well") {
  ServerBeliefs servers;
  UpdateServer(servers, "s", MakeServer(), 1, {}, At(0));
  StoreContact well{At(900), At(-5000)};
  ServerBeliefs after_well = servers;
  UpdateServer(after_well, "s", std::nullopt, 2, well, At(1000));
  CHECK_FALSE(IsUsable(after_well.at("s"), {}, At(1000)));
  StoreContact away{At(900), At(800)};
  UpdateServer(servers, "s", std::nullopt, 2, away, At(1000));
  CHECK(IsUsable(servers.at("s"), {}, At(2000)));
  CHECK_FALSE(IsUsable(servers.at("s"), {}, At(800 + 2500)));
  UpdateServer(servers, "s", MakeServer(), 3, away, At(2600));
  CHECK(IsUsable(servers.at("s"), {}, At(9000)));
}

// Guards against requests, and a model group's ranks, at servers that crashed
// and whose entries lapse seconds after their successors have registered.
TEST_CASE("the entry written last holds an address") {
  ServerBeliefs servers;
  UpdateServer(servers, "old", MakeServer(), 10, {}, At(0));
  UpdateServer(servers, "new", MakeServer(), 12, {}, At(100));
  CHECK_FALSE(IsUsable(servers.at("old"), {}, At(100)));
  CHECK(IsUsable(servers.at("new"), {}, At(100)));
  // A fresh host reads the entries in order of their keys.
  ServerBeliefs read_again;
  UpdateServer(read_again, "new", MakeServer(), 12, {}, At(100));
  UpdateServer(read_again, "old", MakeServer(), 10, {}, At(100));
  CHECK_FALSE(IsUsable(read_again.at("old"), {}, At(100)));
  CHECK(IsUsable(read_again.at("new"), {}, At(100)));
  // The server still lives if it writes again.
  UpdateServer(servers, "old", MakeServer(), 15, {}, At(200));
  CHECK(IsUsable(servers.at("old"), {}, At(200)));
  CHECK_FALSE(IsUsable(servers.at("new"), {}, At(200)));
}

TEST_CASE("draining and evacuated servers get nothing new") {
  ServerBelief belief{MakeServer(), {}, {}, 1};
  CHECK(IsUsable(belief, {}, At(0)));
  CHECK_FALSE(IsUsable(belief, {{"west"}}, At(0)));
  belief.listed.draining = true;
  CHECK_FALSE(IsUsable(belief, {}, At(0)));
}

// Guards against retries beyond the bound, summed over hosts that divide the
// requests in any way.
TEST_CASE("hosts together stay within the bound on retries") {
  const RetryBound bound{0.2, Seconds(10), 88};
  for (const int hosts : {1, 6, 8, 36}) {
    int requests = 0;
    int retries = 0;
    for (int host = 0; host < hosts; ++host) {
      RetryAllowance allowance;
      const int own = host == 0 ? 500 : 7;
      for (int i = 0; i < own; ++i) {
        NoteRequest(allowance, bound, At(i));
        ++requests;
        while (SpendRetry(allowance, bound, hosts, At(i))) {
          ++retries;
        }
      }
    }
    CHECK(retries <= bound.ratio * requests + bound.slack);
  }
}

TEST_CASE("spent retries come back after the window") {
  const RetryBound bound{0.2, Seconds(10), 4};
  RetryAllowance allowance;
  CHECK(SpendRetry(allowance, bound, 1, At(0)));
  CHECK(SpendRetry(allowance, bound, 1, At(0)));
  CHECK_FALSE(SpendRetry(allowance, bound, 1, At(9000)));
  CHECK(SpendRetry(allowance, bound, 1, At(10001)));
}

// Guards against a cold server that falls over because several hosts send at
// once.
TEST_CASE("hosts together stay within what a cold server bears") {
  const ColdBound bound{1.5, 5};
  for (const int hosts : {1, 6, 8}) {
    int sent = 0;
    for (int host = 0; host < hosts; ++host) {
      StartRate rate;
      for (int i = 0; i < 500; ++i) {
        if (MaySend(rate, 26, bound, hosts, At(i))) {
          NoteSent(rate, At(i));
          ++sent;
        }
      }
    }
    CHECK(sent <= 26 * bound.burst_factor + bound.slack);
  }
  StartRate warm;
  CHECK(MaySend(warm, 0, bound, 1, At(0)));
}

ServerCandidate MakeCandidate(const std::string& id, int outstanding) {
  ServerCandidate candidate;
  candidate.id = id;
  candidate.outstanding = outstanding;
  candidate.limit = 12;
  return candidate;
}

TEST_CASE("the server with the least work is chosen") {
  std::vector<ServerCandidate> candidates = {
      MakeCandidate("a", 5), MakeCandidate("b", 3), MakeCandidate("c", 3)};
  candidates[2].unread_tokens = 2000;
  CHECK(PlaceRequest(candidates, {}, At(0)) == 1U);
  for (ServerCandidate& candidate : candidates) {
    candidate.outstanding = 12;
  }
  CHECK_FALSE(PlaceRequest(candidates, {}, At(0)).has_value());
}

// Guards against a server that fails at once and so looks idle.
TEST_CASE("a failing server is avoided until its time has passed") {
  std::vector<ServerCandidate> candidates = {MakeCandidate("bad", 0),
                                             MakeCandidate("good", 1)};
  candidates[0].health = RecordFailure({}, At(0));
  CHECK(PlaceRequest(candidates, {}, At(100)) == 1U);
  candidates[0].health = RecordSuccess(candidates[0].health);
  candidates[0].health.failure_rate = 0;
  CHECK(PlaceRequest(candidates, {}, At(200)) == 0U);
  candidates[0].health = RecordFailure({}, At(0));
  candidates[1].outstanding = 12;
  CHECK(PlaceRequest(candidates, {}, At(100)) == 0U);
}

TEST_CASE("load reports replace each other and fade") {
  LoadBoard board;
  TakeReport(board, "a", {1, 1, {{7, 3, 100}}}, At(0));
  TakeReport(board, "b", {1, 1, {{7, 2, 0}}}, At(0));
  CHECK(LoadOf(board, 7).outstanding == 5);
  TakeReport(board, "a", {1, 3, {{7, 1, 0}}}, At(10));
  TakeReport(board, "a", {1, 2, {{7, 9, 0}}}, At(20));
  CHECK(LoadOf(board, 7).outstanding == 3);
  // A restarted host counts from the start.
  TakeReport(board, "a", {2, 1, {}}, At(30));
  CHECK(LoadOf(board, 7).outstanding == 2);
  DropSilentHosts(board, At(3000));
  CHECK(LoadOf(board, 7).outstanding == 0);
}

TEST_CASE("only whole events pass, each once") {
  EventSplitter splitter;
  CHECK(SplitEvents(splitter, "id: 1\ndata: a\n").empty());
  CHECK(SplitEvents(splitter, "\nid: 2\nda") == "id: 1\ndata: a\n\n");
  DropPartialEvent(splitter);
  CHECK(SplitEvents(splitter, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n") ==
        "id: 2\ndata: b\n\n");
  CHECK(SplitEvents(splitter, "id: 4\ndata: d\n\n").empty());
  CHECK(splitter.broken_order);
}

// Guards against an event without end that is collected until memory runs out.
TEST_CASE("an event without end breaks its stream") {
  EventSplitter splitter;
  const std::string piece(4096, 'a');
  std::size_t taken = 0;
  while (!splitter.too_large && taken < 2 * kMaxEventBytes) {
    CHECK(SplitEvents(splitter, piece).empty());
    taken += piece.size();
  }
  CHECK(taken <= kMaxEventBytes + piece.size());
  CHECK(splitter.partial.empty());
}

TEST_CASE("an event's end is found wherever it is split") {
  const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  for (std::size_t split = 0; split <= text.size(); ++split) {
    EventSplitter splitter;
    const std::string first = SplitEvents(splitter, text.substr(0, split));
    CHECK(first + SplitEvents(splitter, text.substr(split)) == text);
  }
}

// The load: a service that is full or stands. A caller with one try left must
// not be refused before one that can still return.
TEST_CASE("a caller that returns is known by its shorter patience") {
  PatienceMemory memory;
  CHECK_FALSE(IsReturning(memory, "r", Milliseconds(7500)));
  CHECK_FALSE(IsReturning(memory, "r", Milliseconds(8000)));
  CHECK(IsReturning(memory, "r", Milliseconds(5300)));
  CHECK_FALSE(IsReturning(memory, "other", Milliseconds(1500)));
  const Duration target = Milliseconds(400);
  const Duration patience = CallerPatience(target, Milliseconds(120));
  CHECK(patience == Seconds(2));
  CHECK(CallerPatience(target, Milliseconds(500)) == Seconds(4));
  CHECK(WaitForRoom(true, target, patience, Milliseconds(5300)) >
        WaitForRoom(false, target, patience, Milliseconds(8000)));
  // The server still has time for the first event before the caller leaves.
  CHECK(WaitForRoom(true, target, patience, Seconds(8)) + target / 2 <=
        patience);
}

TEST_CASE("a refused caller is never told to wait longer than it honours") {
  CHECK(ReturnAfter(Seconds(5), Milliseconds(7500)) < Milliseconds(2500));
  CHECK(ReturnAfter(Milliseconds(300), Seconds(8)) == Milliseconds(300));
  CHECK(ReturnAfter(Seconds(5), Milliseconds(-3)) == Duration(0));
}

// Guards against requests that make the slowest rank of a group slower yet.
TEST_CASE("a slow server is chosen when no other has room") {
  std::vector<ServerCandidate> candidates = {MakeCandidate("a", 0),
                                             MakeCandidate("b", 9)};
  candidates[0].slow = true;
  for (std::uint64_t draw = 0; draw < 20; ++draw) {
    CHECK(PlaceRequest(candidates, {.draw = draw}, At(0)) == 1U);
  }
  candidates[1].outstanding = candidates[1].limit;
  CHECK(PlaceRequest(candidates, {}, At(0)) == 0U);
}

TEST_CASE("slow servers are known while their reporter is heard") {
  LoadBoard board;
  HostLoadReport report;
  report.incarnation = 1;
  report.sequence = 1;
  report.slow_servers = {7};
  TakeReport(board, "h", report, At(0));
  CHECK(SlowServers(board, At(1000)) == std::set<std::uint32_t>{7});
  CHECK(SlowServers(board, At(2000)).empty());
  report.sequence = 2;
  report.slow_servers.clear();
  TakeReport(board, "h", report, At(1000));
  CHECK(SlowServers(board, At(1000)).empty());
}

}  // namespace
}  // namespace toucanhollow
