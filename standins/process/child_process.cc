#include "standins/process/child_process.h"

#include <fcntl.h>
#include <sched.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <utility>

#include "base/check.h"
#include "process_signals/process_signals.h"

namespace toucanhollow {
namespace {

// The sets of signals in /proc/PID/status are hexadecimal, signal 1 first.
bool IsInSet(const std::string& line, int signal) {
  constexpr int kHexadecimal = 16;
  const std::string set = line.substr(line.find(':') + 1);
  return (std::stoull(set, nullptr, kHexadecimal) >> (signal - 1) & 1) != 0;
}

void Limit(__rlimit_resource kind, std::uint64_t most) {
  if (most > 0) {
    const rlimit limit{most, most};
    setrlimit(kind, &limit);
  }
}

// Of the calling process, from which a program inherits them.
void Apply(const ProcessLimits& limits) {
  Limit(RLIMIT_NOFILE, limits.descriptors);
  Limit(RLIMIT_FSIZE, limits.file_bytes);
  Limit(RLIMIT_DATA, limits.data_bytes);
  if (limits.processors > 0) {
    cpu_set_t set;
    CPU_ZERO(&set);
    for (int processor = 0; processor < limits.processors; ++processor) {
      CPU_SET(processor, &set);
    }
    sched_setaffinity(0, sizeof(set), &set);
  }
}

}  // namespace

ChildProcess::ChildProcess(std::vector<std::string> arguments,
                           std::string log_file,
                           ProcessLimits limits)
    : arguments(std::move(arguments)),
      log_file(std::move(log_file)),
      limits(limits) {}

ChildProcess::~ChildProcess() {
  if (this->IsRunning()) {
    kill(this->child, SIGKILL);
    waitpid(this->child, &this->wait_status, 0);
  }
}

void ChildProcess::Start(StartMask mask) {
  InternalCheck(!this->IsRunning(), "a process is started once at a time");
  std::vector<char*> raw;
  for (std::string& argument : this->arguments) {
    raw.push_back(argument.data());
  }
  raw.push_back(nullptr);
  // The program's start closes the other end.
  std::array<int, 2> started{};
  InternalCheck(pipe2(started.data(), O_CLOEXEC) == 0, "a pipe can be opened");
  sigset_t before;
  pthread_sigmask(SIG_SETMASK, nullptr, &before);
  if (mask == StartMask::kSignalsBlocked) {
    BlockProcessSignals();
  }
  this->child = fork();
  InternalCheck(this->child >= 0, "a child process can be started");
  if (this->child == 0) {
    // A test that is killed leaves no processes behind.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    constexpr mode_t kReadable = 0644;
    const int log = open(this->log_file.c_str(),
                         O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kReadable);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    // Sockets of the parent must not stay open in the child.
    constexpr int kMostDescriptors = 4096;
    for (int fd = STDERR_FILENO + 1; fd < kMostDescriptors; ++fd) {
      if (fd != started[1]) {
        close(fd);
      }
    }
    Apply(this->limits);
    execv(raw[0], raw.data());
    constexpr int kNotStarted = 127;
    _exit(kNotStarted);
  }
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
  close(started[1]);
  char byte = 0;
  while (mask == StartMask::kInherited && read(started[0], &byte, 1) < 0 &&
         errno == EINTR) {
  }
  close(started[0]);
}

void ChildProcess::Signal(int signal) {
  if (this->IsRunning()) {
    kill(this->child, signal);
  }
}

bool ChildProcess::Handles(int signal) const {
  std::ifstream status("/proc/" + std::to_string(this->child) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if ((line.starts_with("SigBlk:") || line.starts_with("SigCgt:")) &&
        IsInSet(line, signal)) {
      return true;
    }
  }
  return false;
}

bool ChildProcess::IsRunning() {
  if (this->child <= 0) {
    return false;
  }
  if (waitpid(this->child, &this->wait_status, WNOHANG) == this->child) {
    this->child = -1;
    return false;
  }
  return true;
}

}  // namespace toucanhollow
