#include "soak/agent_process.h"

#include <fstream>
#include <sstream>
#include <utility>

namespace toucanhollow {

std::unique_ptr<SupervisedProcess> StartAgent(EventLoop& loop,
                                              FaultLog& log,
                                              Ledger& ledger,
                                              const AgentOptions& options) {
  const std::string& ip = options.engine.ip;
  const std::string name = "agent-" + ip;
  const std::string file = options.directory + "/" + name + ".ini";
  std::ostringstream text;
  text << "[process]\nname = " << name << "\n[listen]\nagent = " << ip << ":"
       << options.port << "\nmetrics = " << ip << ":" << options.port + 1
       << "\n[engine]\naddress = " << ip << ":" << options.engine.port << "\n";
  ProcessOptions process;
  process.name = name;
  process.arguments = {options.program, "--role=rank_agent",
                       "--settings=" + file};
  process.write_settings = [file, text = text.str()] {
    std::ofstream(file) << text;
  };
  process.first_signal_after = options.first_signal_after;
  process.limits = options.limits;
  process.signals_while_loading = options.signals_while_loading;
  process.signals_blocked_at_start = options.signals_blocked_at_start;
  process.log_file = options.directory + "/" + name + ".log";
  auto agent = std::make_unique<SupervisedProcess>(loop, log, ledger,
                                                   std::move(process));
  agent->Start();
  return agent;
}

}  // namespace toucanhollow
