// Entry hosts that get no processor time for a while: what arrives meanwhile
// lies in the kernel's buffers when they go on.
#include <algorithm>
#include <csignal>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "standins/platform/relay_process.h"

namespace toucanhollow {
namespace {

std::vector<std::unique_ptr<Caller>> AskMany(RelayProcess& site, int count) {
  std::vector<std::unique_ptr<Caller>> callers;
  for (int i = 0; i < count; ++i) {
    callers.push_back(
        std::make_unique<Caller>(site.loop, site.settings.callers));
    callers.back()->connection->Write(
        Request("POST", "/u/x", "r" + std::to_string(i), "", "body"));
  }
  return callers;
}

}  // namespace

// Guards against answers that are replaced by a failure because their deadline
// passed between their arrival and the time at which the host read them.
TEST_CASE("answers that arrived while the host stood still are passed on") {
  RelayProcess site(Seconds(8));
  site.store.Put("keyed.servers", "i-1", std::nullopt);
  site.store.Put("keyed.servers", "i-2",
                 R"({"service":"ledger","address":"127.0.0.1:)" +
                     std::to_string(site.first.Port()) +
                     R"(","zone":"west","slots":400,"state":"ready",)"
                     R"("born":1700000000000})");
  site.RunFor(Milliseconds(1200));
  // More connections than the loop takes from the kernel in one turn, and more
  // bytes than it reads from one of them.
  const auto [count, size] =
      GENERATE(std::pair(1, 2), std::pair(200, 2), std::pair(4, 200'000));
  ScriptedAnswer answer;
  answer.later = SealedAnswer(std::string(size, 'a')).bytes;
  answer.delay = Milliseconds(400);
  site.first.script.assign(count, answer);
  const std::size_t before = site.first.arrivals.size();
  const auto callers = AskMany(site, count);
  REQUIRE(site.RunUntil(
      [&] { return site.first.arrivals.size() == before + callers.size(); }));
  site.process->Signal(SIGSTOP);
  site.RunFor(Milliseconds(1300));
  site.process->Signal(SIGCONT);
  site.RunUntil([&] {
    return std::ranges::all_of(
        callers, [](const auto& caller) { return caller->parser.done(); });
  });
  const auto whole = std::ranges::count_if(
      callers, [size = static_cast<std::size_t>(size)](const auto& caller) {
        return caller->parser.done() && caller->parser.head().status == 200 &&
               caller->parser.TakeBody().size() == size;
      });
  CHECK(whole == count);
}

}  // namespace toucanhollow
