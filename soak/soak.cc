// Plays one run of the fault soak and reports what was broken. Exits with 1 if
// a promise was broken.
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <iostream>

#include <gflags/gflags.h>

#include "soak/soak_site.h"

DEFINE_uint32(seed, 1, "seed of the faults and of the callers' requests");
DEFINE_double(seconds, 8, "how long faults of all kinds begin");
DEFINE_double(contact_seconds,
              14,
              "how long faults of the contact with the store begin after that");
DEFINE_double(signals_seconds,
              10,
              "how long signals come before that, in series");
DEFINE_double(first_signal_ms,
              0,
              "the least time from the start of a process to a signal");
DEFINE_bool(signals_while_loading,
            true,
            "signals come also while the dynamic loader works, when no code of "
            "the program can handle them");
DEFINE_bool(signals_blocked_at_start,
            false,
            "processes start with SIGHUP, SIGTERM and SIGINT blocked, so that "
            "they stay pending until the program handles them");
DEFINE_bool(
    late_crashes,
    false,
    "the deadly part may end servers up to 500 ms after the first event "
    "of the answer");
DEFINE_bool(interrupts, true, "SIGINT is among the signals");
DEFINE_int32(hosts, 3, "entry hosts, at most 40");
DEFINE_int32(engines,
             8,
             "model servers with an agent each, at most 64; half of them are "
             "ranks of groups");
DEFINE_int32(ranks, 4, "ranks of a group");
DEFINE_int32(callers, 24, "callers of the services without models");
DEFINE_uint64(largest_body,
              0,
              "prompts have bodies of up to this size, half of them in chunks, "
              "and half of them go to kept connections; 0 for neither");
DEFINE_double(joint_restart_seconds,
              0,
              "how often all processes are told to end, or are killed, at the "
              "same moment; 0 for never");
DEFINE_int32(processors,
             0,
             "the processes under test run on the first so many processors; 0 "
             "for all");
DEFINE_bool(site_limits,
            false,
            "limits on descriptors, file sizes and data as on a site");
DEFINE_string(program, "build/bin/toucanhollow", "the program under test");
DEFINE_string(directory, "run/soak", "settings and logs go here");

namespace {

toucanhollow::Duration FromSeconds(double seconds) {
  return toucanhollow::Duration(
      static_cast<toucanhollow::Duration::rep>(seconds * 1e6));
}

void SetLimits(toucanhollow::SoakOptions& options) {
  options.host_limits.processors = FLAGS_processors;
  constexpr std::uint64_t kMegabyte = 1 << 20;
  if (FLAGS_site_limits) {
    options.host_limits.descriptors = 4100;
    options.host_limits.file_bytes = 4 * kMegabyte;
    options.host_limits.data_bytes = 260 * kMegabyte;
  }
  options.agent_limits = options.host_limits;
  if (FLAGS_site_limits) {
    options.agent_limits.descriptors = 2048;
    options.agent_limits.data_bytes = 128 * kMegabyte;
  }
}

}  // namespace

int main(int argc, char** argv) {
  using toucanhollow::Ledger;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  toucanhollow::SoakOptions options;
  options.seed = FLAGS_seed;
  options.signals_for = FromSeconds(FLAGS_signals_seconds);
  options.faults_for = FromSeconds(FLAGS_seconds);
  options.contact_faults_for = FromSeconds(FLAGS_contact_seconds);
  options.first_signal_after = FromSeconds(FLAGS_first_signal_ms / 1000);
  options.signals_while_loading = FLAGS_signals_while_loading;
  options.signals_blocked_at_start = FLAGS_signals_blocked_at_start;
  options.late_crashes = FLAGS_late_crashes;
  options.signals.interrupts = FLAGS_interrupts;
  options.hosts = FLAGS_hosts;
  options.engines = FLAGS_engines;
  SetLimits(options);
  options.ranks = FLAGS_ranks;
  options.callers = FLAGS_callers;
  options.largest_body = FLAGS_largest_body;
  options.joint_restart_period = FromSeconds(FLAGS_joint_restart_seconds);
  options.program = FLAGS_program;
  options.directory = FLAGS_directory + "/seed-" + std::to_string(FLAGS_seed);
  std::filesystem::remove_all(options.directory);
  std::filesystem::create_directories(options.directory);
  toucanhollow::EventLoop loop;
  toucanhollow::SoakSite site(loop, options);
  const Ledger& ledger = site.Play();
  std::cout << "seed " << FLAGS_seed << ": " << ledger.requests.size()
            << " requests, " << ledger.answered << " answered, "
            << ledger.answered_half_closed
            << " answers to half-closed callers, " << ledger.refused
            << " refused, " << ledger.failed << " failed or left; "
            << ledger.checked_leavings << " servers left, "
            << ledger.allowed_late_arrivals << " late requests allowed; "
            << site.MapChanges() << " map changes; stood still "
            << ledger.stalls << " times; " << ledger.broken.size()
            << " promises broken\n  ended without an answer:";
  for (const auto& [kind, count] : ledger.ended) {
    std::cout << " " << count << " " << toucanhollow::RequestEndName(kind)
              << ";";
  }
  std::cout << "\n";
  for (const std::string& broken : ledger.broken) {
    std::cout << "  " << broken << "\n";
  }
  std::cout << std::flush;
  return ledger.broken.empty() ? 0 : 1;
}
