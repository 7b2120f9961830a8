#include "soak/site_text.h"

#include <unistd.h>

#include <algorithm>
#include <sstream>

#include "soak/check_promises.h"
#include "soak/group_site.h"
#include "soak/prompt_site.h"
#include "soak/request_plan.h"
#include "soak/soak_server.h"

namespace toucanhollow {
namespace {

constexpr int kFirstHost = 10;
constexpr int kFirstPromptServer = 50;
constexpr int kFirstRank = 120;

std::string OwnIp(int number) {
  constexpr int kOctet = 200;
  const int pid = getpid();
  return "127." + std::to_string(1 + pid / kOctet % kOctet) + "." +
         std::to_string(1 + pid % kOctet) + "." + std::to_string(number);
}

}  // namespace

std::string HostIp(int host) {
  return OwnIp(kFirstHost + host);
}

std::string PromptServerIp(int server) {
  return OwnIp(kFirstPromptServer + server);
}

std::string RankIp(int rank) {
  return OwnIp(kFirstRank + rank);
}

std::string HostSettingsText(const std::string& name,
                             const std::string& ip,
                             std::uint16_t store_port,
                             const std::vector<std::string>& seeds) {
  std::ostringstream text;
  text << "[process]\nname = " << name << "\ndata_centre = west\n"
       << "[listen]\ncallers = " << ip << ":" << kCallerPort
       << "\nreadiness = " << ip << ":18081\ncontrol = " << ip
       << ":18082\nreport_port = " << kReportPort << "\nmetrics_port = 18084\n"
       << "rank_call_port = 18085\npermit_port = 18086\n[store]\naddress = "
          "127.0.0.1:"
       << store_port << "\n[peers]\nseeds = ";
  for (std::size_t i = 0; i < seeds.size(); ++i) {
    text << (i == 0 ? "" : ",") << seeds[i] << ":18082";
  }
  text << "\n[limits]\ndescriptors = 1024\n[shutdown]\ngrace_s = "
       << ToMilliseconds(kHostGrace) / 1000
       << "\n[retries]\nratio = 0.2\nwindow_s = 10\nslack = 88\n"
       << "[cold]\nburst_factor = " << kColdBurstFactor
       << "\nslack = " << kColdSlack
       << "\n[bounds]\ndrain_ms = " << ToMilliseconds(kDrainBound)
       << "\ncontact_ms = " << ToMilliseconds(kContactBound) << "\n";
  return text.str();
}

std::string ConfigText(int version, std::size_t largest_body) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         PlannedRoutesText() + "," + PromptRouteText() + "," +
         GroupRouteText() +
         R"(],"services":[{"name":"ledger","max_conns":96,"cold_s":3,)"
         R"("cold_per_s":)" +
         std::to_string(kColdRequestsPerSecond) + "}," + PromptServiceText() +
         "," + GroupServiceText() +
         R"(],)"
         R"("limits":{"max_header_bytes":4096,"max_body_bytes":)" +
         std::to_string(std::max<std::size_t>(1000, largest_body + 100)) +
         R"(,"header_timeout_ms":1000,"idle_timeout_ms":15000},)"
         R"("tenants":[{"name":"acc","api_keys":["k1"]}]})";
}

}  // namespace toucanhollow
