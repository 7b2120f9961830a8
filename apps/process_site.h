// Processes of the program under test, each with a loopback address, a settings
// file and a log of its own. TOUCANHOLLOW_PROGRAM in the environment names
// another build of the program.
#ifndef APPS_PROCESS_SITE_H_
#define APPS_PROCESS_SITE_H_

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <functional>
#include <string>
#include <vector>

#include "base/time.h"
#include "standins/process/child_process.h"

namespace toucanhollow {

enum class ProcessRole { kRelay, kRankAgent, kEntryHost, kEndpoint };

// Ports of every process, on its own address. The metrics port of an agent is
// the one of a relay.
constexpr std::uint16_t kCallerPort = 18080;
constexpr std::uint16_t kReadinessPort = 18081;
constexpr std::uint16_t kControlPort = 18082;
constexpr std::uint16_t kReportPort = 18083;
constexpr std::uint16_t kMetricsPort = 18084;

// The program under test.
std::filesystem::path ProgramFile();

// A new empty folder that is below the folder for temporary files.
std::filesystem::path NewDirectory();

// Another file than the program under test, such as a copy of it.
struct OtherProgram {
  std::filesystem::path file;
};

class TestProcess {
 public:
  // Writes the settings and does not start the process. Processes with the same
  // number share an address.
  TestProcess(ProcessRole role, int number, std::uint16_t store_port = 1);
  // A shell runs the commands before it becomes the process.
  TestProcess(ProcessRole role, int number, const std::string& commands);
  TestProcess(ProcessRole role, int number, const OtherProgram& program);

  void Start(StartMask mask = StartMask::kInherited) {
    this->child.Start(mask);
  }
  void Signal(int signal) { this->child.Signal(signal); }
  bool IsRunning() { return this->child.IsRunning(); }
  // True if it has ended with this exit status, and not by a signal.
  bool HasExitedWith(int status);

  void WriteSettings(const std::string& text) const;
  void RemoveSettings() const;
  // What it has written so far, and how many times a text is in it.
  std::string Log() const;
  int CountInLog(const std::string& text) const;
  bool HasStarted() const;
  // Blocks until it has started, and returns false if it ended before.
  bool WaitForStart();

  // Blocks until the process ignores SIGPIPE, which it does before it opens a
  // socket, and returns false if it ended first.
  bool WaitForFirstInstructions();
  // Number of threads, 0 if the process is gone.
  int CountThreads() const;
  // The file that a descriptor of the process is open on.
  std::string DescriptorTarget(int descriptor) const;
  // The files that the process has mapped, without repetitions.
  std::vector<std::string> MappedFiles() const;

  std::string ip;
  std::string settings;

 private:
  TestProcess(ProcessRole role,
              int number,
              std::uint16_t store_port,
              const std::string& commands,
              const std::filesystem::path& program);
  std::string StatusField(const std::string& name) const;

  ProcessRole role;
  std::string settings_file;
  std::string log_file;
  ChildProcess child;
};

// Sends bytes on a new connection, which it attempts until the port listens,
// then calls `sent` and returns everything that is received until the end of
// the connection or a reset.
std::string AskAsSoonAsItListens(const std::string& ip,
                                 std::uint16_t port,
                                 const std::string& bytes,
                                 const std::function<void()>& sent);

// Polls the condition and returns whether it held within the limit.
bool WaitUntil(const std::function<bool()>& condition,
               Duration limit = Seconds(20));

}  // namespace toucanhollow

#endif  // APPS_PROCESS_SITE_H_
