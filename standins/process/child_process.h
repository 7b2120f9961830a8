// ChildProcess: one process of the system under test, controlled by signals.
#ifndef STANDINS_PROCESS_CHILD_PROCESS_H_
#define STANDINS_PROCESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace toucanhollow {

// What a process may use; no limit of its own if 0.
struct ProcessLimits {
  // The first processors of the machine.
  int processors = 0;
  std::uint64_t descriptors = 0;
  // Of each file that it writes.
  std::uint64_t file_bytes = 0;
  std::uint64_t data_bytes = 0;
};

// The mask of signals that a process inherits.
enum class StartMask {
  kInherited,
  // SIGTERM, SIGINT and SIGHUP are blocked, so that they stay pending until the
  // process unblocks them.
  kSignalsBlocked
};

class ChildProcess {
 public:
  // `log_file` gets what the process writes.
  ChildProcess(std::vector<std::string> arguments,
               std::string log_file,
               ProcessLimits limits = {});
  // Kills the process if it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Returns once the program has begun, so that a signal reaches the program
  // and not the copy of this process before it. With blocked signals, which
  // stay pending for the program, it returns at once.
  void Start(StartMask mask = StartMask::kInherited);
  void Signal(int signal);
  // Whether the process blocks or catches the signal. False while the dynamic
  // loader works: its default action ends the process then.
  bool Handles(int signal) const;
  // True until the process has ended; collects its status then.
  bool IsRunning();
  // The process id while it runs, otherwise -1.
  pid_t pid() const { return this->child; }
  // How it ended, as waitpid gives it.
  int status() const { return this->wait_status; }

 private:
  std::vector<std::string> arguments;
  std::string log_file;
  ProcessLimits limits;
  pid_t child = -1;
  int wait_status = 0;
};

}  // namespace toucanhollow

#endif  // STANDINS_PROCESS_CHILD_PROCESS_H_
