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
  std::string request;    // these four filter the timeline; empty selects all
  std::string endpoint;
  std::string subject;  // also the prefix of the subjects that `show` prints
  std::string process;
  std::optional<std::int64_t> expected_revision;
  // The change identifier of a published record; must be unique for each
  // publication. The tool passes the present time and its process identifier.
  std::string change_id;
  bool follow = false;

  bool operator==(const CommandOptions&) const = default;
};

constexpr int kExitSuccess = 0;
// The command ran, with a negative result: a record or a file is invalid, a
// record was not accepted, the log or a process did not answer, a process is
// not ready, or no event matched.
constexpr int kExitNegative = 1;
constexpr int kExitUsage = 2;

// Runs one command with its arguments and returns the exit code. Results go to
// `out`, errors and warnings to `errors`.
int RunCommand(const std::vector<std::string>& arguments,
               const CommandOptions& options,
               std::ostream& out,
               std::ostream& errors);

// The usage text for --help: every command with its argument and meaning.
std::string CommandUsage();

}  // namespace toucanhollow

#endif  // CTL_COMMAND_H_
