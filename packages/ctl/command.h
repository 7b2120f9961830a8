// The commands of toucanhollowctl.
#ifndef CTL_COMMAND_H_
#define CTL_COMMAND_H_

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace toucanhollow {

struct CommandOptions {
  std::string log;        // address of the platform's log
  std::string processes;  // HTTP addresses of processes, comma-separated
  std::string request;    // the next four select from the timeline
  std::string endpoint;
  std::string subject;
  std::string process;
  std::optional<std::int64_t> expected_revision;
  // Makes the change identifier unique; the tool passes the present time.
  std::string change_id;
  bool follow = false;

  bool operator==(const CommandOptions&) const = default;
};

constexpr int kExitSuccess = 0;
// The command did its work and the answer is no: a record was refused, a file
// has mistakes, a process is behind or silent.
constexpr int kExitNegative = 1;
constexpr int kExitUsage = 2;

// Runs one command with its arguments and returns the exit code. Results go to
// `out`, mistakes and warnings to `errors`.
int RunCommand(const std::vector<std::string>& arguments,
               const CommandOptions& options,
               std::ostream& out,
               std::ostream& errors);

// What RunCommand accepts, for --help.
std::string CommandUsage();

}  // namespace toucanhollow

#endif  // CTL_COMMAND_H_
