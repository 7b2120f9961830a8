// RelayProcess: the real program as an entry host between the stand-ins of a
// site, for cases in which the kernel's part matters.
#ifndef STANDINS_PLATFORM_RELAY_PROCESS_H_
#define STANDINS_PLATFORM_RELAY_PROCESS_H_

#include <unistd.h>

#include <cstddef>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "standins/platform/own_loopback.h"
#include "standins/platform/relay_site.h"
#include "standins/process/child_process.h"

namespace toucanhollow {

// The program beside the test, or another build of it that RELAY_PROGRAM names.
inline std::string RelayProgram() {
  const char* named = std::getenv("RELAY_PROGRAM");
  if (named != nullptr) {
    return named;
  }
  return std::filesystem::read_symlink("/proc/self/exe").parent_path() /
         "toucanhollow";
}

struct RelayProcess : Site {
  std::filesystem::path directory;
  std::unique_ptr<ChildProcess> process;

  explicit RelayProcess(Duration grace, std::size_t memory_mb = 160) {
    this->settings.grace = grace;
    this->TakeOwnAddresses();
    std::string pattern =
        (std::filesystem::temp_directory_path() / "relay_XXXXXX").string();
    REQUIRE(mkdtemp(pattern.data()) != nullptr);
    this->directory = pattern;
    this->Configure();
    const std::string file = this->directory / "relay.ini";
    const auto port = [](const Address& address) {
      return address.ip + ":" + std::to_string(address.port);
    };
    std::ofstream(file) << "[process]\nname = front-1\ndata_centre = west\n"
                        << "[listen]\ncallers = "
                        << port(this->settings.callers)
                        << "\nreadiness = " << port(this->settings.readiness)
                        << "\ncontrol = " << port(this->settings.control)
                        << "\nreport_port = " << this->settings.report_port
                        << "\nmetrics_port = " << this->settings.metrics_port
                        << "\nrank_call_port = " << NextOwnAddress().port
                        << "\npermit_port = " << this->settings.permit_port
                        << "\n[store]\naddress = " << port(this->settings.store)
                        << "\n[peers]\nseeds = " << port(this->settings.control)
                        << "\n[limits]\ndescriptors = 4200\nmemory_mb = "
                        << memory_mb << "\n[shutdown]\n"
                        << "grace_s = " << ToMilliseconds(grace) / 1000
                        << "\n[retries]\nratio = 0.2\nwindow_s = 10\n"
                        << "slack = 88\n[cold]\nburst_factor = 1.5\n"
                        << "slack = 5\n[bounds]\ndrain_ms = 2000\n"
                        << "contact_ms = 3000\n";
    this->process = std::make_unique<ChildProcess>(
        std::vector<std::string>{RelayProgram(), "--role=relay",
                                 "--settings=" + file},
        this->directory / "relay.log");
    this->process->Start();
    const bool serves = Serves(*this);
    std::ostringstream log;
    log << std::ifstream(this->directory / "relay.log").rdbuf();
    INFO(log.str());
    REQUIRE(serves);
  }
  ~RelayProcess() {
    this->process.reset();
    std::filesystem::remove_all(this->directory);
  }
  RelayProcess(const RelayProcess&) = delete;
  RelayProcess& operator=(const RelayProcess&) = delete;
};

}  // namespace toucanhollow

#endif  // STANDINS_PLATFORM_RELAY_PROCESS_H_
