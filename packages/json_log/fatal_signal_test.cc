#include "json_log/fatal_signal.h"

#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <limits>
#include <string>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

struct Ended {
  std::string output;
  int signal = 0;
};

// Runs the function in a child process whose signals have their default action
// before.
Ended RunInChild(const std::function<void()>& function) {
  std::array<int, 2> pipe_ends{};
  REQUIRE(pipe(pipe_ends.data()) == 0);
  const pid_t child = fork();
  if (child == 0) {
    dup2(pipe_ends[1], STDOUT_FILENO);
    for (const int signal : {SIGSEGV, SIGABRT, SIGFPE}) {
      std::signal(signal, SIG_DFL);
    }
    LogFatalSignals(",\"process\":\"p\"");
    function();
    _exit(0);
  }
  close(pipe_ends[1]);
  Ended ended;
  std::array<char, 4096> bytes{};
  for (ssize_t count = 0;
       (count = read(pipe_ends[0], bytes.data(), bytes.size())) > 0;) {
    ended.output.append(bytes.data(), static_cast<std::size_t>(count));
  }
  close(pipe_ends[0]);
  int status = 0;
  waitpid(child, &status, 0);
  ended.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
  return ended;
}

void CheckLine(const Ended& ended, int signal) {
  INFO(ended.output);
  CHECK(ended.signal == signal);
  CHECK(ended.output.starts_with("{\"time\":1"));
  CHECK(ended.output.find(
            ",\"process\":\"p\",\"signal\":" + std::to_string(signal) +
            ",\"address\":\"0x") != std::string::npos);
  CHECK(ended.output.ends_with("\"}\n"));
}

// Guards against an end by a fault of the program that leaves no trace.
TEST_CASE("an access to no memory is logged and ends the process") {
  CheckLine(RunInChild([] {
              volatile int* volatile nowhere = nullptr;
              *nowhere = 1;
            }),
            SIGSEGV);
}

TEST_CASE("a signal that another process sent is logged and ends it") {
  CheckLine(RunInChild([] { raise(SIGSEGV); }), SIGSEGV);
  CheckLine(RunInChild([] { std::abort(); }), SIGABRT);
}

// Takes a page of the stack for each unit of depth.
int Recurse(int depth) {
  std::array<volatile char, 4096> frame{};
  frame[0] = static_cast<char>(depth);
  return depth == 0 ? 0 : Recurse(depth - 1) + frame[0];
}

// Guards against a handler that needs the stack that has ended.
TEST_CASE("the end of the stack is logged and ends the process") {
  CheckLine(RunInChild([] { _exit(Recurse(std::numeric_limits<int>::max())); }),
            SIGSEGV);
}

// Guards against a process that never ends because its log is not read.
TEST_CASE("a full pipe does not keep the process from ending") {
  CHECK(RunInChild([] {
          std::array<int, 2> full{};
          if (pipe(full.data()) != 0) {
            _exit(1);
          }
          constexpr std::size_t kMorePages = 1024;
          dup2(full[1], STDOUT_FILENO);
          std::signal(SIGALRM, SIG_DFL);
          const std::array<char, 4096> page{};
          for (std::size_t i = 0; i < kMorePages; ++i) {
            pollfd output{STDOUT_FILENO, POLLOUT, 0};
            if (poll(&output, 1, 0) != 1) {
              break;
            }
            if (write(STDOUT_FILENO, page.data(), page.size()) < 0) {
              _exit(1);
            }
          }
          alarm(10);
          std::abort();
        }).signal == SIGABRT);
}

}  // namespace
}  // namespace toucanhollow
