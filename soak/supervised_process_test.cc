#include "soak/supervised_process.h"

#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <memory>
#include <string>
#include <utility>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

// Its handler of SIGTERM stands some time after its start. Nothing is forked
// before that, as a shell blocks signals meanwhile.
constexpr const char* kProgram =
    "i=0; while [ $i -lt 200000 ]; do i=$((i + 1)); done; "
    "trap 'exit 0' TERM; while :; do sleep 0.01; done";

struct Supervised {
  explicit Supervised(ProcessOptions options)
      : directory(std::filesystem::temp_directory_path() /
                  ("supervised_process_test-" + std::to_string(getpid()))),
        log((std::filesystem::create_directories(this->directory),
             this->directory / "faults.log")) {
    options.name = "program";
    if (options.arguments.empty()) {
      options.arguments = {"/bin/sh", "-c", kProgram};
    }
    options.log_file = this->directory / "program.log";
    options.on_restart = [this] { this->loop.Stop(); };
    this->process = std::make_unique<SupervisedProcess>(
        this->loop, this->log, this->ledger, std::move(options));
  }
  ~Supervised() { std::filesystem::remove_all(this->directory); }
  Supervised(const Supervised&) = delete;
  Supervised& operator=(const Supervised&) = delete;

  // Returns when the process has ended and was started again.
  void RunToRestart() {
    const Timer longest(this->loop, Seconds(10), Duration(0),
                        [this] { this->loop.Stop(); });
    this->loop.Run();
  }

  std::filesystem::path directory;
  EventLoop loop;
  FaultLog log;
  Ledger ledger;
  std::unique_ptr<SupervisedProcess> process;
};

// Guards against a fault, or a series for the next start, that ends a process
// which is younger than --first_signal_ms.
TEST_CASE("signals of all kinds wait for the age of the process") {
  ProcessOptions options;
  options.grace = Seconds(20);
  options.first_signal_after = Seconds(3);
  Supervised supervised(std::move(options));
  supervised.process->Start();
  const TimePoint started = EventLoop::Now();
  SECTION("a signal of a fault") {
    supervised.process->Terminate(SIGTERM, Duration(0));
  }
  SECTION("the end before a series for the next start") {
    SignalSeries series;
    series.at_next_start = true;
    supervised.process->Play(series);
  }
  supervised.RunToRestart();
  CHECK(EventLoop::Now() - started >= Seconds(3));
  CHECK(supervised.ledger.broken.empty());
}

// Guards against a busy machine, on which the dynamic loader works longer than
// any fixed time.
TEST_CASE("signals can wait until the program handles them") {
  ProcessOptions options;
  options.grace = Seconds(20);
  options.signals_while_loading = false;
  Supervised supervised(std::move(options));
  supervised.process->Start();
  supervised.process->Terminate(SIGTERM, Duration(0));
  supervised.RunToRestart();
  CHECK(supervised.process->stopping_since() == std::nullopt);
  CHECK(supervised.ledger.broken.empty());
}

// Guards against a check that does not see a process which a signal ends.
TEST_CASE("a signal that the program does not handle breaks a promise") {
  Supervised supervised(ProcessOptions{});
  supervised.process->Start();
  supervised.process->Terminate(SIGTERM, Duration(0));
  supervised.RunToRestart();
  CHECK(supervised.ledger.broken.size() == 1);
}

// Guards against an option that does not reach the start of the process.
TEST_CASE("a signal that is blocked at the start ends no process") {
  ProcessOptions options;
  options.arguments = {"/bin/sh", "-c", "while :; do :; done"};
  options.grace = Milliseconds(200);
  options.signals_blocked_at_start = true;
  Supervised supervised(std::move(options));
  supervised.process->Start();
  supervised.process->Terminate(SIGTERM, Duration(0));
  supervised.RunToRestart();
  REQUIRE(supervised.ledger.broken.size() == 1);
  CHECK(supervised.ledger.broken.front().find("grace time") !=
        std::string::npos);
}

// Guards against a process that does not end in its grace time.
TEST_CASE("a process that runs on after its grace time breaks a promise") {
  ProcessOptions options;
  options.arguments = {"/bin/sh", "-c", "trap '' TERM; while :; do :; done"};
  options.grace = Milliseconds(200);
  options.first_signal_after = Seconds(1);
  Supervised supervised(std::move(options));
  supervised.process->Start();
  supervised.process->Terminate(SIGTERM, Duration(0));
  supervised.RunToRestart();
  REQUIRE(supervised.ledger.broken.size() == 1);
  CHECK(supervised.ledger.broken.front().find("grace time") !=
        std::string::npos);
}

// Guards against a process that has ended in time, and whose memory the kernel
// frees for seconds, taken for one that runs on.
TEST_CASE("the status tells whether a process ended before SIGKILL") {
  constexpr int kExitedWithOne = 1 << 8;
  CHECK(EndedBeforeKill(0));
  CHECK(EndedBeforeKill(kExitedWithOne));
  CHECK(EndedBeforeKill(SIGTERM));
  CHECK_FALSE(EndedBeforeKill(SIGKILL));
}

}  // namespace
}  // namespace toucanhollow
