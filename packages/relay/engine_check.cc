#include "relay/engine_check.h"

namespace toucanhollow {

EngineState ClassifyEngine(const RankReply& reply, const ListedServer& server) {
  if (reply.engine_down) {
    return EngineState::kEnded;
  }
  if (!reply.report || reply.report->start_time_ms == 0) {
    return EngineState::kUnknown;
  }
  return reply.report->start_time_ms == server.start_time_ms
             ? EngineState::kRunning
             : EngineState::kEnded;
}

}  // namespace toucanhollow
