// The address of the agent on a server's machine.
#ifndef RELAY_AGENT_ADDRESS_H_
#define RELAY_AGENT_ADDRESS_H_

#include "base/address.h"
#include "relay/relay_settings.h"
#include "traffic/known_server.h"

namespace toucanhollow {

// The agent's port is this host's report port, because the internal ports are
// the same on all machines of the platform.
inline Address AgentAddress(const ListedServer& server,
                            const RelaySettings& settings) {
  return {server.address.ip, settings.report_port};
}

}  // namespace toucanhollow

#endif  // RELAY_AGENT_ADDRESS_H_
