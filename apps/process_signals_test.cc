// Signals that reach the real program at any time of its life.
#include <unistd.h>

#include <array>
#include <csignal>
#include <memory>
#include <random>
#include <semaphore>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "apps/process_site.h"
#include "event_loop/event_loop.h"
#include "standins/platform/relay_site.h"

namespace toucanhollow {
namespace {

// Signals are sent this long after the first instructions, once for each
// process.
constexpr int kMoments = 20;
constexpr Duration kMomentStep = Duration(600);

// Signals that the parent has blocked are sent this long after the fork.
constexpr std::array<Duration, 6> kMomentsAfterFork = {
    Duration(0),    Duration(200),  Duration(500),
    Duration(1000), Duration(2000), Duration(5000)};

constexpr std::array<ProcessRole, 4> kRoles = {
    ProcessRole::kRelay, ProcessRole::kRankAgent, ProcessRole::kEntryHost,
    ProcessRole::kEndpoint};

struct Started {
  std::vector<std::unique_ptr<TestProcess>> processes;

  // Starts one process for each moment and sends it one of the signals then, in
  // turns. Returns the number of those that it reached.
  int SignalAtEachMoment(ProcessRole role, const std::vector<int>& signals) {
    int reached = 0;
    for (int moment = 0; moment < kMoments; ++moment) {
      auto process = std::make_unique<TestProcess>(role, 1 + moment);
      process->Start();
      reached += process->WaitForFirstInstructions() ? 1 : 0;
      std::this_thread::sleep_for(moment * kMomentStep);
      process->Signal(
          signals[static_cast<std::size_t>(moment) % signals.size()]);
      this->processes.push_back(std::move(process));
    }
    return reached;
  }
};

// Counts "reloaded" of either interface.
int CountReloads(const TestProcess& process) {
  return process.CountInLog("\"event\":\"reloaded\"") +
         process.CountInLog("reloaded phase=");
}

// A process that was sent a SIGHUP, a stop or both has handled them.
void CheckSignalsHandled(TestProcess& process, bool stopped) {
  if (stopped) {
    CHECK(WaitUntil([&] { return !process.IsRunning(); }));
    INFO(process.Log());
    CHECK(process.HasExitedWith(0));
    CHECK(process.CountInLog("exiting") == 1);
    return;
  }
  const bool started = process.WaitForStart();
  WaitUntil([&] { return CountReloads(process) > 0 || !process.IsRunning(); });
  INFO(process.Log());
  CHECK(started);
  CHECK(CountReloads(process) == 1);
  CHECK(process.IsRunning());
}

// Without the inaccuracy of a timer.
void SleepExactly(Duration time) {
  const TimePoint end = EventLoop::Now() + time;
  while (EventLoop::Now() < end) {
  }
}

int ThreadsOf(TestProcess& process) {
  process.Start();
  REQUIRE(process.WaitForStart());
  return process.CountThreads();
}

// Guards against a start in which the dynamic loader works for long before any
// code of the program can handle a signal.
TEST_CASE("the loader has few libraries to load before signals are handled") {
  TestProcess process(ProcessRole::kRankAgent, 1,
                      "export LD_TRACE_LOADED_OBJECTS=1");
  process.Start();
  REQUIRE(WaitUntil([&process] { return !process.IsRunning(); }));
  CHECK(process.CountInLog("libc.so.6 =>") == 1);
  CHECK(process.CountInLog("libm.so.6 =>") <= 1);
  CHECK(process.CountInLog(".so.") - process.CountInLog("libc.so.6") -
            process.CountInLog("libm.so.6") - process.CountInLog("ld-linux") -
            process.CountInLog("linux-vdso") ==
        0);
}

// Guards against a reload that ends a process which has no handler yet.
TEST_CASE("SIGHUP at any moment of the start ends no process") {
  for (const ProcessRole role : kRoles) {
    Started started;
    REQUIRE(started.SignalAtEachMoment(role, {SIGHUP}) == kMoments);
    for (const auto& process : started.processes) {
      CheckSignalsHandled(*process, false);
    }
  }
}

// Guards against a stop during the start that counts as a crash.
TEST_CASE("SIGTERM or SIGINT at any moment of the start is an ordinary stop") {
  for (const ProcessRole role : kRoles) {
    Started started;
    REQUIRE(started.SignalAtEachMoment(role, {SIGTERM, SIGINT}) == kMoments);
    for (const auto& process : started.processes) {
      CheckSignalsHandled(*process, true);
    }
  }
}

// Guards against signals of a start that are lost or end the process although
// its parent blocked them before.
TEST_CASE("SIGHUP and SIGTERM that the parent blocks wait for the handlers") {
  for (const ProcessRole role : kRoles) {
    for (const bool stopped : {false, true}) {
      std::vector<std::unique_ptr<TestProcess>> processes;
      for (const Duration moment : kMomentsAfterFork) {
        processes.push_back(std::make_unique<TestProcess>(
            role, 1 + static_cast<int>(processes.size())));
        TestProcess& process = *processes.back();
        process.Start(StartMask::kSignalsBlocked);
        SleepExactly(moment);
        process.Signal(SIGHUP);
        if (stopped) {
          process.Signal(SIGTERM);
        }
      }
      for (const auto& process : processes) {
        CheckSignalsHandled(*process, stopped);
      }
    }
  }
}

// Guards against a moment of the start at which a signal that is pending since
// before the program is let through to its default action.
TEST_CASE("signals that are pending when the program begins are handled") {
  for (const ProcessRole role : kRoles) {
    for (const std::string signal : {"HUP", "TERM", "INT"}) {
      TestProcess process(role, 1, "kill -" + signal + " $$");
      process.Start(StartMask::kSignalsBlocked);
      INFO(signal);
      CheckSignalsHandled(process, signal != "HUP");
    }
  }
}

// Guards against a listening socket that is opened before a stop is orderly:
// the connections that the kernel has taken are reset.
TEST_CASE("a connection taken before SIGTERM at the start is answered") {
  std::vector<std::unique_ptr<TestProcess>> processes;
  std::vector<std::thread> callers;
  std::vector<std::string> answers(kMoments);
  for (int i = 0; i < kMoments; ++i) {
    processes.push_back(
        std::make_unique<TestProcess>(ProcessRole::kRelay, 1 + i));
    TestProcess& process = *processes.back();
    process.Start();
    std::string& answer = answers[static_cast<std::size_t>(i)];
    std::binary_semaphore sent(0);
    callers.emplace_back([&process, &answer, &sent] {
      answer = AskAsSoonAsItListens(process.ip, kCallerPort,
                                    Request("GET", "/s/x", "a"), [&] {
                                      process.Signal(SIGTERM);
                                      sent.release();
                                    });
    });
    sent.acquire();
  }
  for (int i = 0; i < kMoments; ++i) {
    const auto index = static_cast<std::size_t>(i);
    callers[index].join();
    CHECK(answers[index].starts_with("HTTP/1.1 503"));
    CHECK(WaitUntil([&] { return !processes[index]->IsRunning(); }));
    INFO(processes[index]->Log());
    CHECK(processes[index]->HasExitedWith(0));
  }
}

// Guards against a second signal that cuts a drain short, and against one of
// another kind that ends the process by its default action.
TEST_CASE("further signals during a drain change nothing") {
  Site site;
  site.Configure();
  TestProcess process(ProcessRole::kRelay, 1, site.store.Port());
  process.Start();
  REQUIRE(site.RunUntil([&] { return process.HasStarted(); }, Seconds(20)));
  const Address callers{process.ip, kCallerPort};
  const auto ask = [&](const std::string& id) {
    auto caller = std::make_unique<Caller>(site.loop, callers);
    caller->connection->Write(Request("GET", "/s/x", id));
    return caller;
  };
  REQUIRE(site.RunUntil(
      [&] {
        const auto caller = ask("warm");
        site.RunUntil([&] { return caller->parser.done() || caller->ended; });
        return caller->parser.done() && caller->parser.head().status == 200;
      },
      Seconds(20)));
  ScriptedAnswer slow = SealedAnswer("slow");
  slow.later = std::exchange(slow.bytes, "");
  slow.delay = Milliseconds(700);
  site.first.script.push_back(slow);
  const std::size_t before = site.first.arrivals.size();
  const auto caller = ask("slow");
  REQUIRE(site.RunUntil([&] { return site.first.arrivals.size() > before; }));
  process.Signal(SIGTERM);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP, SIGPIPE, SIGINT}) {
    site.RunFor(Milliseconds(50));
    process.Signal(signal);
  }
  REQUIRE(
      site.RunUntil([&] { return caller->parser.done() || caller->ended; }));
  CHECK(caller->parser.done());
  INFO("status " << caller->parser.head().status);
  CHECK(caller->parser.TakeBody() == "slow");
  REQUIRE(site.RunUntil([&] { return !process.IsRunning(); }, Seconds(20)));
  INFO(process.Log());
  CHECK(process.HasExitedWith(0));
}

// Guards against a process that cannot be stopped because its parent blocks or
// ignores the signals that it starts it with.
TEST_CASE("signals that the parent blocks or ignores stop a process") {
  for (const ProcessRole role : kRoles) {
    TestProcess process(role, 1);
    sigset_t blocked;
    sigset_t before;
    sigemptyset(&blocked);
    sigaddset(&blocked, SIGTERM);
    sigprocmask(SIG_BLOCK, &blocked, &before);
    const auto interrupt = std::signal(SIGINT, SIG_IGN);
    process.Start();
    std::signal(SIGINT, interrupt);
    sigprocmask(SIG_SETMASK, &before, nullptr);
    REQUIRE(process.WaitForStart());
    process.Signal(SIGTERM);
    CHECK(WaitUntil([&] { return !process.IsRunning(); }));
    CHECK(process.HasExitedWith(0));
  }
}

// Guards against an end by the default action of a signal that is not meant to
// end the process.
TEST_CASE("a signal without a use ends no process") {
  for (const ProcessRole role : kRoles) {
    for (const int signal : {SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF,
                             SIGIO, SIGPWR, SIGXCPU, SIGPIPE, SIGXFSZ}) {
      TestProcess process(role, 1);
      process.Start();
      REQUIRE(process.WaitForStart());
      process.Signal(signal);
      std::this_thread::sleep_for(Milliseconds(20));
      INFO("signal " << signal);
      CHECK(process.IsRunning());
      process.Signal(SIGTERM);
      CHECK(WaitUntil([&] { return !process.IsRunning(); }));
      CHECK(process.HasExitedWith(0));
    }
  }
}

// Guards against an end whose reason is in no log.
TEST_CASE("a signal that a fault of the program raises is logged") {
  for (const ProcessRole role :
       {ProcessRole::kRelay, ProcessRole::kRankAgent}) {
    for (const int signal : {SIGABRT, SIGQUIT}) {
      TestProcess process(role, 1);
      process.Start();
      REQUIRE(process.WaitForStart());
      process.Signal(signal);
      CHECK(WaitUntil([&] { return !process.IsRunning(); }));
      INFO(process.Log());
      CHECK(process.CountInLog("\"event\":\"fatal_signal\",\"signal\":" +
                               std::to_string(signal) + ",") == 1);
    }
  }
}

// Guards against a log file that ends the process when it reaches the limit on
// file sizes.
TEST_CASE("a log file of the maximum size ends no process") {
  for (const ProcessRole role : kRoles) {
    TestProcess process(role, 1, "ulimit -f 1");
    process.Start();
    REQUIRE(process.WaitForStart());
    constexpr int kLines = 30;
    for (int i = 0; i < kLines; ++i) {
      process.Signal(SIGHUP);
      std::this_thread::sleep_for(Milliseconds(5));
    }
    CHECK(process.IsRunning());
  }
}

// Guards against log lines in the connection of a caller, whose socket has the
// number of the standard output that the parent closed.
TEST_CASE("a closed standard output is replaced") {
  for (const ProcessRole role :
       {ProcessRole::kRelay, ProcessRole::kEntryHost}) {
    TestProcess process(role, 1, "exec <&- >&- 2>&-");
    process.Start();
    CHECK(AskAsSoonAsItListens(
              process.ip, kCallerPort,
              Request("GET", "/s/x", "a", "Connection: close\r\n"), [] {})
              .starts_with("HTTP/1.1 "));
    for (const int descriptor : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
      CHECK(process.DescriptorTarget(descriptor) == "/dev/null");
    }
  }
}

// Guards against a thread of a library that takes a signal in place of the
// loop's.
TEST_CASE("a process has one thread") {
  for (const ProcessRole role : kRoles) {
    TestProcess process(role, 1);
    CHECK(ThreadsOf(process) == 1);
  }
}

// Guards against signals that overlap, and against one that is left over from
// the process before it.
TEST_CASE("signals in series with restarts end a process only by a stop") {
  constexpr int kProcesses = 6;
  constexpr int kRounds = 2;
  constexpr int kMaxPauseMs = 25;
  const std::vector<int> harmless = {SIGHUP, SIGPIPE};
  std::mt19937 random(1);
  const auto draw = [&](int count) {
    return static_cast<int>(random() % static_cast<unsigned int>(count));
  };
  std::vector<std::unique_ptr<TestProcess>> processes;
  processes.reserve(kProcesses);
  for (int i = 0; i < kProcesses; ++i) {
    processes.push_back(std::make_unique<TestProcess>(
        i % 2 == 0 ? ProcessRole::kRelay : ProcessRole::kRankAgent, 1 + i));
  }
  for (int round = 0; round < kRounds; ++round) {
    for (const auto& process : processes) {
      process->Start();
      CHECK(process->WaitForFirstInstructions());
      for (int i = draw(4); i > 0; --i) {
        process->Signal(harmless[static_cast<std::size_t>(draw(2))]);
        std::this_thread::sleep_for(Milliseconds(draw(kMaxPauseMs)));
      }
      CHECK(process->IsRunning());
      process->Signal(draw(2) == 0 ? SIGTERM : SIGINT);
      for (const int signal : {SIGHUP, SIGINT, SIGTERM, SIGPIPE}) {
        std::this_thread::sleep_for(Milliseconds(draw(kMaxPauseMs)));
        process->Signal(signal);
      }
    }
    for (const auto& process : processes) {
      CHECK(WaitUntil([&] { return !process->IsRunning(); }));
      INFO(process->Log());
      CHECK(process->HasExitedWith(0));
    }
  }
}

}  // namespace
}  // namespace toucanhollow
