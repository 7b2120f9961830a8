#include "process_limits/descriptors.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <functional>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

// Runs the function in a child process, whose limits and descriptors it may
// change, and returns whether it returned true.
bool SucceedsInChild(const std::function<bool()>& function) {
  const pid_t child = fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    _exit(function() ? 0 : 1);
  }
  int status = 0;
  REQUIRE(waitpid(child, &status, 0) == child);
  return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

// Guards against a process that runs out of descriptors below the number that
// its settings state, because its soft limit is the usual 1,024.
TEST_CASE("the soft limit is raised as far as the hard limit allows") {
  CHECK(SucceedsInChild([] {
    const rlimit limit{64, 100};
    return setrlimit(RLIMIT_NOFILE, &limit) == 0 &&
           RaiseDescriptorLimit(80) == 80 && RaiseDescriptorLimit(4200) == 100;
  }));
}

// Guards against a limit that is lowered below what the process was given.
TEST_CASE("a higher soft limit stays") {
  CHECK(SucceedsInChild([] {
    const rlimit limit{90, 100};
    return setrlimit(RLIMIT_NOFILE, &limit) == 0 &&
           RaiseDescriptorLimit(80) == 90 && DescriptorLimit() == 90;
  }));
}

// Guards against a socket that becomes standard output and receives log lines.
TEST_CASE("closed standard descriptors are opened") {
  CHECK(SucceedsInChild([] {
    close(STDIN_FILENO);
    close(STDOUT_FILENO);
    close(STDERR_FILENO);
    OpenStandardDescriptors();
    return open("/dev/null", O_RDONLY) > STDERR_FILENO &&
           write(STDOUT_FILENO, "x", 1) == 1 &&
           write(STDERR_FILENO, "x", 1) == 1;
  }));
}

}  // namespace
}  // namespace toucanhollow
