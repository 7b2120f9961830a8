// The agent beside a model server of the soak, as a process of its own.
#ifndef SOAK_AGENT_PROCESS_H_
#define SOAK_AGENT_PROCESS_H_

#include <memory>
#include <string>

#include "base/address.h"
#include "soak/supervised_process.h"

namespace toucanhollow {

struct AgentOptions {
  std::string program;
  // Settings and logs go here.
  std::string directory;
  std::uint16_t port = 0;
  Address engine;
  // Signals of a series come no earlier than this after a start.
  Duration first_signal_after{0};
  bool signals_while_loading = true;
  bool signals_blocked_at_start = false;
  ProcessLimits limits = {};
};

// Starts the agent on the engine's IP address.
std::unique_ptr<SupervisedProcess> StartAgent(EventLoop& loop,
                                              FaultLog& log,
                                              Ledger& ledger,
                                              const AgentOptions& options);

}  // namespace toucanhollow

#endif  // SOAK_AGENT_PROCESS_H_
