// Plays one run of the fault soak and reports what was broken. Exits with 1 if
// a promise was broken.
#include <csignal>
#include <filesystem>
#include <iostream>

#include <gflags/gflags.h>

#include "soak/soak_site.h"

DEFINE_uint32(seed, 1, "seed of the faults and of the callers' requests");
DEFINE_double(seconds, 8, "how long faults of all kinds begin");
DEFINE_double(contact_seconds,
              14,
              "how long faults of the contact with the store begin after that");
DEFINE_string(program, "build/bin/toucanhollow", "the program under test");
DEFINE_string(directory, "run/soak", "settings and logs go here");

int main(int argc, char** argv) {
  using toucanhollow::Ledger;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  toucanhollow::SoakOptions options;
  options.seed = FLAGS_seed;
  options.faults_for = toucanhollow::Duration(
      static_cast<toucanhollow::Duration::rep>(FLAGS_seconds * 1e6));
  options.contact_faults_for = toucanhollow::Duration(
      static_cast<toucanhollow::Duration::rep>(FLAGS_contact_seconds * 1e6));
  options.program = FLAGS_program;
  options.directory = FLAGS_directory + "/seed-" + std::to_string(FLAGS_seed);
  std::filesystem::remove_all(options.directory);
  std::filesystem::create_directories(options.directory);
  toucanhollow::EventLoop loop;
  toucanhollow::SoakSite site(loop, options);
  const Ledger& ledger = site.Play();
  std::cout << "seed " << FLAGS_seed << ": " << ledger.requests.size()
            << " requests, " << ledger.answered << " answered, "
            << ledger.refused << " refused, " << ledger.failed
            << " failed or left; " << ledger.checked_leavings
            << " servers left, " << ledger.allowed_late_arrivals
            << " late requests allowed; " << ledger.broken.size()
            << " promises broken\n";
  for (const std::string& broken : ledger.broken) {
    std::cout << "  " << broken << "\n";
  }
  return ledger.broken.empty() ? 0 : 1;
}
