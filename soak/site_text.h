// Addresses, settings and the configuration of a run of the soak.
#ifndef SOAK_SITE_TEXT_H_
#define SOAK_SITE_TEXT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace toucanhollow {

// UDP, of entry hosts and of agents.
inline constexpr std::uint16_t kReportPort = 18083;
inline constexpr std::uint16_t kCallerPort = 18080;
inline constexpr Duration kHostGrace = Seconds(4);

// Loopback addresses of this run alone, so that runs go side by side.
std::string HostIp(int host);
std::string PromptServerIp(int server);
std::string RankIp(int rank);

// The settings of the entry host at `ip`.
std::string HostSettingsText(const std::string& name,
                             const std::string& ip,
                             std::uint16_t store_port,
                             const std::vector<std::string>& seeds);

// Bodies of requests may be so large, but at least 1,000 bytes.
std::string ConfigText(int version, std::size_t largest_body);

}  // namespace toucanhollow

#endif  // SOAK_SITE_TEXT_H_
