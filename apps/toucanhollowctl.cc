// The operators' tool: checks and publishes records, shows the configuration
// and the state of processes, and prints their timelines.
#include <unistd.h>

#include <iostream>
#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "ctl/command.h"
#include "event_loop/event_loop.h"

DEFINE_string(log, "", "address of the platform's log, <ip>:<port>");
DEFINE_string(processes, "", "HTTP addresses of processes, <ip>:<port>,...");
DEFINE_int64(expect,
             -1,
             "revision that the record replaces; -1 for the current one");
DEFINE_string(request, "", "show events of this request");
DEFINE_string(endpoint, "", "show events of this endpoint");
DEFINE_string(subject, "", "subject to show, <kind>/<name>");
DEFINE_string(process, "", "show events of this process");
DEFINE_bool(follow, false, "keep printing new events until interrupted");

int main(int argc, char** argv) {
  gflags::SetUsageMessage(toucanhollow::CommandUsage());
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  toucanhollow::CommandOptions options;
  options.log = FLAGS_log;
  options.processes = FLAGS_processes;
  options.request = FLAGS_request;
  options.endpoint = FLAGS_endpoint;
  options.subject = FLAGS_subject;
  options.process = FLAGS_process;
  options.follow = FLAGS_follow;
  if (FLAGS_expect >= 0) {
    options.expected_revision = FLAGS_expect;
  }
  const auto now = toucanhollow::EventLoop::WallNow().time_since_epoch();
  options.change_id =
      std::to_string(now.count()) + "-" + std::to_string(getpid());
  return toucanhollow::RunCommand(
      std::vector<std::string>(argv + 1, argv + argc), options, std::cout,
      std::cerr);
}
